/** @file Keys: salted hashes, compared in constant time. */
#pragma once

#include <optional>
#include <string>

namespace rattan {

/** A key as a caller shows it. */
struct shown_key {
    std::string id;
    std::string secret;
};

/** Reads `Bearer ID.SECRET`; nothing when it has another form. */
std::optional<shown_key> parse_authorization(const std::string& header);

/** SHA-256 of salt and secret, hexadecimal. */
std::string hash_secret(const std::string& salt, const std::string& secret);

/** Tells whether a secret is the one that was hashed; in constant time. */
bool secret_matches(const std::string& salt, const std::string& hash,
                    const std::string& secret);

/** Random bytes as hexadecimal text. @throw system_error without entropy. */
std::string random_hex(int bytes);

} // namespace rattan
