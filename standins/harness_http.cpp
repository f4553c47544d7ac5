#include "harness_http.hpp"

#include <curl/curl.h>

#include <algorithm>
#include <memory>

namespace rattan::standin {

namespace {

/** Appends the answer's body. */
size_t take_body(char* data, size_t size, size_t count, void* target) {
    static_cast<std::string*>(target)->append(data, size * count);
    return size * count;
}

/** Notes one header. */
size_t take_header(char* data, size_t size, size_t count, void* target) {
    const std::string line(data, size * count);
    const size_t colon = line.find(": ");
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        std::string value = line.substr(colon + 2);
        while (!value.empty() && (value.back() == '\r' || value.back() == '\n'))
            value.pop_back();
        (*static_cast<std::map<std::string, std::string>*>(target))[name] =
            value;
    }
    return size * count;
}

} // namespace

blocking_answer http_do(const blocking_call& call) {
    blocking_answer answer;
    const std::unique_ptr<CURL, void (*)(CURL*)> easy(curl_easy_init(),
                                                      curl_easy_cleanup);
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    for (const auto& [name, value] : call.headers)
        headers = curl_slist_append(headers, (name + ": " + value).c_str());
    curl_easy_setopt(easy.get(), CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, call.timeout_ms);
    curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (!call.body.empty() || call.method == "POST") {
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, call.body.c_str());
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(call.body.size()));
    }
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &take_body);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &answer.body);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, &take_header);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &answer.headers);
    if (curl_easy_perform(easy.get()) == CURLE_OK)
        curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &answer.status);
    curl_slist_free_all(headers);
    return answer;
}

} // namespace rattan::standin
