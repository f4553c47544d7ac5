/** @file Commands that check or change the declarations. */
#include "base/key_func.hpp"
#include "ctl/ctl_type.hpp"
#include "fold/config_func.hpp"
#include "fold/config_load.hpp"
#include "rattan/error_type.hpp"

#include <iostream>

namespace rattan {

using nlohmann::json;

namespace {

constexpr int SECRET_BYTES = 24;
constexpr int SALT_BYTES = 8;

/** Prints a change, one line per entry. */
void print_delta(const config_delta& delta, const json& before) {
    for (const auto& [section, entries] : delta.set.items())
        for (const auto& [name, entry] : entries.items()) {
            const bool is_new =
                !before.contains(section) || !before[section].contains(name);
            std::cout << (is_new ? "+ " : "~ ") << section << "." << name
                      << ": " << entry.dump() << "\n";
        }
    for (const auto& [section, names] : delta.drop.items())
        for (const json& name : names)
            std::cout << "- " << section << "." << name.get<std::string>()
                      << "\n";
    if (delta.empty())
        std::cout << "no difference\n";
}

/** Finds an entry in force. @throw command_error if there is none. */
json entry_in_force(const json& config, const std::string& section,
                    const std::string& name) {
    const json& document = config.at("document");
    if (!document.contains(section) || !document.at(section).contains(name))
        throw command_error("the configuration in force has no entry " +
                            section + "." + name);
    return document.at(section).at(name);
}

} // namespace

exit_code run_validate(const ctl_context& context) {
    const json document = load_declarations(context.args.front());
    if (context.json)
        std::cout << document.dump() << "\n";
    else
        std::cout << "valid\n";
    return exit_code::ok;
}

exit_code run_plan(const ctl_context& context) {
    const json document = load_declarations(context.args.front());
    const json config = fetch_config(context);
    const config_delta delta = diff_config(config.at("document"), document);
    if (context.json)
        std::cout << json({{"base", config.at("version")},
                           {"set", delta.set},
                           {"drop", delta.drop}})
                         .dump()
                  << "\n";
    else {
        std::cout << "from version " << config.at("version") << "\n";
        print_delta(delta, config.at("document"));
    }
    return exit_code::ok;
}

exit_code run_publish(const ctl_context& context) {
    const json document = load_declarations(context.args.front());
    const json config = fetch_config(context);
    const config_delta delta = diff_config(config.at("document"), document);
    if (delta.empty()) {
        std::cout << "no difference; version " << config.at("version")
                  << " stays in force\n";
        return exit_code::ok;
    }
    const std::int64_t base = context.base >= 0
                                  ? context.base
                                  : config.at("version").get<std::int64_t>();
    return publish_delta(context, base, delta.set, delta.drop);
}

exit_code run_grant(const ctl_context& context) {
    const std::string& id = context.args.front();
    if (context.organisation.empty())
        throw command_error("--team is required");
    const std::string secret = random_hex(SECRET_BYTES);
    const std::string salt = random_hex(SALT_BYTES);
    const json entry = {{"team", context.organisation},
                        {"salt", salt},
                        {"hash", hash_secret(salt, secret)}};
    const json config = fetch_config(context);
    const exit_code code =
        publish_delta(context, config.at("version").get<std::int64_t>(),
                      {{"keys", {{id, entry}}}}, json::object());
    if (code == exit_code::ok)
        std::cout << "key: " << id << "." << secret
                  << "\nIt is not shown again. Add to keys.yaml:\n  " << id
                  << ":\n    team: " << context.organisation << "\n    salt: \""
                  << salt << "\"\n    hash: \""
                  << entry["hash"].get<std::string>() << "\"\n";
    return code;
}

exit_code run_withdraw(const ctl_context& context) {
    const json config = fetch_config(context);
    const std::string& id = context.args.front();
    entry_in_force(config, "keys", id);
    return publish_delta(context, config.at("version").get<std::int64_t>(),
                         json::object(), {{"keys", {id}}});
}

exit_code run_centre(const ctl_context& context) {
    const std::string& direction = context.args.front();
    if (context.args.size() < 2 || (direction != "out" && direction != "in"))
        throw command_error("expected `centre out NAME` or `centre in NAME`");
    const json config = fetch_config(context);
    const std::string& name = context.args.at(1);
    json entry = entry_in_force(config, "data_centres", name);
    entry["in_service"] = direction == "in";
    return publish_delta(context, config.at("version").get<std::int64_t>(),
                         {{"data_centres", {{name, entry}}}}, json::object());
}

} // namespace rattan
