#include "base/key_func.hpp"

#include "rattan/error_type.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <vector>

namespace rattan {

namespace {

constexpr size_t MAX_KEY_BYTES = 512;

std::string to_hex(const unsigned char* bytes, size_t count) {
    constexpr const char* DIGITS = "0123456789abcdef";
    std::string text;
    for (size_t i = 0; i < count; ++i) {
        text += DIGITS[bytes[i] >> 4U];
        text += DIGITS[bytes[i] & 15U];
    }
    return text;
}

} // namespace

std::optional<presented_key> parse_authorization(const std::string& header) {
    const std::string scheme = "Bearer ";
    if (!header.starts_with(scheme) || header.size() > MAX_KEY_BYTES)
        return std::nullopt;
    const size_t dot = header.find('.', scheme.size());
    if (dot == std::string::npos || dot == scheme.size() ||
        dot + 1 == header.size())
        return std::nullopt;
    return presented_key{header.substr(scheme.size(), dot - scheme.size()),
                         header.substr(dot + 1)};
}

std::string hash_secret(const std::string& salt, const std::string& secret) {
    const std::string text = salt + ":" + secret;
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned length = 0;
    if (EVP_Digest(text.data(), text.size(), digest, &length, EVP_sha256(),
                   nullptr) != 1)
        throw system_error("OpenSSL could not compute a SHA-256 digest");
    return to_hex(digest, length);
}

bool secret_matches(const std::string& salt, const std::string& hash,
                    const std::string& secret) {
    const std::string shown = hash_secret(salt, secret);
    return shown.size() == hash.size() &&
           CRYPTO_memcmp(shown.data(), hash.data(), hash.size()) == 0;
}

std::string random_hex(int bytes) {
    std::vector<unsigned char> buffer(static_cast<size_t>(bytes));
    if (RAND_bytes(buffer.data(), bytes) != 1)
        throw system_error("OpenSSL could not generate " +
                           std::to_string(bytes) + " random bytes");
    return to_hex(buffer.data(), buffer.size());
}

} // namespace rattan
