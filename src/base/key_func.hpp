/** @file API keys: parsing, hashing and verification. */
#pragma once

#include <optional>
#include <string>

namespace rattan {

/** A key as sent by a caller. */
struct presented_key {
    std::string id;
    std::string secret;
};

/** Parses `Bearer ID.SECRET`; nothing if it has another form. */
std::optional<presented_key> parse_authorization(const std::string& header);

/** SHA-256 of `SALT:SECRET`, hexadecimal. */
std::string hash_secret(const std::string& salt, const std::string& secret);

/** Tells whether a secret has this hash; compares in constant time. */
bool secret_matches(const std::string& salt, const std::string& hash,
                    const std::string& secret);

/**
 * Cryptographically secure random bytes, hexadecimal.
 * @throw system_error if OpenSSL can't generate them.
 */
std::string random_hex(int bytes);

} // namespace rattan
