#include "fold/config_codec.hpp"

#include <functional>
#include <limits>
#include <map>

namespace rattan {

namespace {

using nlohmann::json;

constexpr std::int64_t MILLIS_PER_SECOND = 1000;
constexpr std::int64_t MILLI_CORES_PER_CORE = 1000;
constexpr std::int64_t MAX_COUNT = 1'000'000'000;
constexpr std::int64_t MAX_SECONDS = 30LL * 24 * 3600;

/**
 * Reads the fields of one object and collects what is wrong with them. The
 * destructor reports fields that were not read as unknown.
 */
class object_reader {
public:
    object_reader(const json& object, std::string path,
                  std::vector<config_issue>& issues)
        : object_(object), path_(std::move(path)), issues_(issues) {
        if (!object.is_object())
            issue("", "must be a mapping of fields");
    }

    ~object_reader() {
        if (!object_.is_object())
            return;
        for (const auto& [name, value] : object_.items())
            if (!known_.contains(name))
                issue(name, "unknown field; remove it");
    }

    object_reader(const object_reader&) = delete;
    object_reader& operator=(const object_reader&) = delete;

    /** The value of a field, or null. */
    const json* find(const std::string& name) {
        known_.insert(name);
        if (!object_.is_object() || !object_.contains(name))
            return nullptr;
        return &object_.at(name);
    }

    /** Reads an integer from `low` to `high`. */
    void number(const std::string& name, std::int64_t low, std::int64_t high,
                const std::function<void(std::int64_t)>& set,
                bool required = false) {
        const json* value = find(name);
        if (value == nullptr) {
            if (required)
                issue(name, "is required: an integer");
            return;
        }
        if (!value->is_number_integer() || *value < low || *value > high)
            return issue(name, "must be an integer from " +
                                   std::to_string(low) + " to " +
                                   std::to_string(high));
        set(value->get<std::int64_t>());
    }

    void flag(const std::string& name, bool& target) {
        const json* value = find(name);
        if (value == nullptr)
            return;
        if (!value->is_boolean())
            return issue(name, "must be true or false");
        target = value->get<bool>();
    }

    /** Reads a string that is not empty. */
    void text(const std::string& name, std::string& target, bool required) {
        const json* value = find(name);
        if (value == nullptr) {
            if (required)
                issue(name, "is required: a string");
            return;
        }
        if (!value->is_string() || value->get<std::string>().empty())
            return issue(name, "must be a string that is not empty");
        target = value->get<std::string>();
    }

    /** Reads a list of strings. */
    void texts(const std::string& name,
               const std::function<void(const std::string&)>& add) {
        const json* value = find(name);
        if (value == nullptr)
            return;
        if (!value->is_array())
            return issue(name, "must be a list of names");
        for (const json& entry : *value) {
            if (!entry.is_string())
                return issue(name, "must be a list of names");
            add(entry.get<std::string>());
        }
    }

    /** Reads an enum value by its name. */
    template <typename Enum>
    void choice(const std::string& name, Enum& target,
                const std::map<std::string, Enum>& options) {
        const json* value = find(name);
        if (value == nullptr)
            return;
        if (value->is_string()) {
            const auto found = options.find(value->get<std::string>());
            if (found != options.end()) {
                target = found->second;
                return;
            }
        }
        std::string listed;
        for (const auto& [word, ignored] : options)
            listed += (listed.empty() ? "" : ", ") + word;
        issue(name, "must be one of " + listed);
    }

    /** Adds an issue of a field, or of the object if `name` is empty. */
    void issue(const std::string& name, const std::string& remedy) {
        issues_.push_back({name.empty() ? path_ : path_ + "." + name, remedy});
    }

    [[nodiscard]] const std::string& path() const { return path_; }

private:
    const json& object_;
    std::string path_;
    std::vector<config_issue>& issues_;
    std::set<std::string> known_;
};

cell_declaration read_cell(object_reader& in) {
    cell_declaration cell;
    in.number("isolation_limit_s", 1, MAX_SECONDS, [&](std::int64_t value) {
        cell.isolation_limit = millis(value * MILLIS_PER_SECOND);
    });
    in.number("queued_jobs_limit", 1, MAX_COUNT,
              [&](std::int64_t value) { cell.queued_jobs_limit = value; });
    return cell;
}

data_centre_declaration read_data_centre(object_reader& in) {
    data_centre_declaration centre;
    in.flag("in_service", centre.in_service);
    in.texts("entry_hosts", [&](const std::string& name) {
        centre.entry_hosts.push_back({name});
    });
    if (centre.entry_hosts.empty())
        in.issue("entry_hosts", "must name at least one entry host");
    return centre;
}

organisation_declaration read_organisation(object_reader& in,
                                           std::vector<config_issue>& issues) {
    organisation_declaration organisation;
    in.number("weight", 1, 1'000'000,
              [&](std::int64_t value) { organisation.weight = value; });
    const json* limits = in.find("limits");
    if (limits == nullptr) {
        in.issue("limits", "is required: cores, accelerators, checks");
        return organisation;
    }
    object_reader inner(*limits, in.path() + ".limits", issues);
    inner.number(
        "cores", 0, MAX_COUNT,
        [&](std::int64_t value) {
            organisation.limits[quota_kind::milli_cores] =
                value * MILLI_CORES_PER_CORE;
        },
        true);
    inner.number("accelerators", 0, MAX_COUNT, [&](std::int64_t value) {
        organisation.limits[quota_kind::accelerators] = value;
    });
    inner.number(
        "checks", 0, MAX_COUNT,
        [&](std::int64_t value) {
            organisation.limits[quota_kind::checks] = value;
        },
        true);
    return organisation;
}

key_declaration read_key(object_reader& in) {
    key_declaration key;
    in.text("team", key.organisation.value, true);
    in.text("salt", key.salt, true);
    in.text("hash", key.hash, true);
    in.number("isolation_limit_s", 1, MAX_SECONDS, [&](std::int64_t value) {
        key.isolation_limit = millis(value * MILLIS_PER_SECOND);
    });
    return key;
}

void read_max_task(object_reader& in, resources& shape) {
    in.number("cores", 0, 4096, [&](std::int64_t value) {
        shape.milli_cores = value * MILLI_CORES_PER_CORE;
    });
    in.number("memory_mib", 0, MAX_COUNT,
              [&](std::int64_t value) { shape.memory_mib = value; });
    in.number("accelerators", 0, 1024,
              [&](std::int64_t value) { shape.accelerators = value; });
}

plan_declaration read_plan(object_reader& in,
                           std::vector<config_issue>& issues) {
    plan_declaration plan;
    in.choice<work_kind>("kind", plan.kind,
                         {{"check", work_kind::check},
                          {"batch", work_kind::batch},
                          {"watch", work_kind::watch}});
    in.texts("teams", [&](const std::string& name) {
        plan.organisations.push_back({name});
    });
    in.flag("open_to_all", plan.open_to_all);
    in.text("account", plan.account.value, plan.open_to_all);
    in.number("max_tasks", 1, 100'000, [&](std::int64_t value) {
        plan.max_tasks = static_cast<std::int32_t>(value);
    });
    if (const json* shape = in.find("max_task")) {
        object_reader inner(*shape, in.path() + ".max_task", issues);
        read_max_task(inner, plan.max_task);
    }
    in.texts("data_centres", [&](const std::string& name) {
        plan.data_centres.insert({name});
    });
    in.flag("restartable", plan.restartable);
    in.flag("urgent", plan.urgent);
    in.choice<drain_policy>(
        "drain", plan.drain,
        {{"move", drain_policy::move}, {"finish", drain_policy::finish}});
    in.number("max_attempts", 1, 1000, [&](std::int64_t value) {
        plan.max_attempts = static_cast<std::int32_t>(value);
    });
    if (plan.drain == drain_policy::move && !plan.restartable)
        in.issue("drain", "move needs restartable: true");
    return plan;
}

/** Reads a section that maps names to objects. */
template <typename Id, typename Declaration>
void read_section(const json& document, const std::string& section,
                  std::map<Id, Declaration>& target,
                  std::vector<config_issue>& issues,
                  const std::function<Declaration(object_reader&)>& read) {
    if (!document.contains(section))
        return;
    const json& entries = document.at(section);
    if (!entries.is_object()) {
        issues.push_back({section, "must be a mapping of names"});
        return;
    }
    for (const auto& [name, value] : entries.items()) {
        object_reader in(value, section + "." + name, issues);
        target[Id{name}] = read(in);
    }
}

/** Checks that references are declared and that entry hosts are unique. */
void check_references(const declarations& all,
                      std::vector<config_issue>& issues) {
    for (const auto& [id, key] : all.keys)
        if (!all.organisations.contains(key.organisation))
            issues.push_back({"keys." + id.value + ".team",
                              "refers to an undeclared organisation: " +
                                  key.organisation.value});
    for (const auto& [id, plan] : all.plans) {
        for (const organisation_name& organisation : plan.organisations)
            if (!all.organisations.contains(organisation))
                issues.push_back({"plans." + id.value + ".teams",
                                  "refers to an undeclared organisation: " +
                                      organisation.value});
        if (!plan.account.empty() && !all.organisations.contains(plan.account))
            issues.push_back({"plans." + id.value + ".account",
                              "refers to an undeclared organisation: " +
                                  plan.account.value});
        for (const data_centre_id& centre : plan.data_centres)
            if (!all.data_centres.contains(centre))
                issues.push_back(
                    {"plans." + id.value + ".data_centres",
                     "refers to an undeclared data centre: " + centre.value});
    }
    std::set<host_id> hosts;
    for (const auto& [id, centre] : all.data_centres)
        for (const host_id& host : centre.entry_hosts)
            if (!hosts.insert(host).second)
                issues.push_back(
                    {"data_centres." + id.value + ".entry_hosts",
                     "entry host is declared twice: " + host.value});
}

/** One line with the first issue and the number of others. */
std::string summary(const std::vector<config_issue>& issues) {
    if (issues.empty())
        return "declarations are not valid";
    return issues.front().path + ": " + issues.front().remedy +
           (issues.size() > 1
                ? " (and " + std::to_string(issues.size() - 1) + " more)"
                : "");
}

} // namespace

config_invalid::config_invalid(std::vector<config_issue> found)
    : error(summary(found)), issues(std::move(found)) {}

declarations parse_declarations(const json& document) {
    std::vector<config_issue> issues;
    declarations all;
    if (!document.is_object())
        throw config_invalid(
            std::vector<config_issue>{{"", "must be a mapping of sections"}});
    const std::set<std::string> sections{"cell", "data_centres", "teams",
                                         "keys", "plans"};
    for (const auto& [name, value] : document.items())
        if (!sections.contains(name))
            issues.push_back({name, "unknown section; remove it"});
    if (document.contains("cell")) {
        object_reader in(document.at("cell"), "cell", issues);
        all.cell = read_cell(in);
    }
    read_section<data_centre_id, data_centre_declaration>(
        document, "data_centres", all.data_centres, issues, read_data_centre);
    read_section<organisation_name, organisation_declaration>(
        document, "teams", all.organisations, issues,
        [&](object_reader& in) { return read_organisation(in, issues); });
    read_section<key_id, key_declaration>(document, "keys", all.keys, issues,
                                          read_key);
    read_section<plan_id, plan_declaration>(
        document, "plans", all.plans, issues,
        [&](object_reader& in) { return read_plan(in, issues); });
    check_references(all, issues);
    if (!issues.empty())
        throw config_invalid(std::move(issues));
    return all;
}

std::string quota_kind_name(quota_kind kind) {
    switch (kind) {
    case quota_kind::milli_cores:
        return "milli_cores";
    case quota_kind::accelerators:
        return "accelerators";
    case quota_kind::checks:
        return "checks";
    }
    return "unknown";
}

} // namespace rattan
