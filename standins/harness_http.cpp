#include "harness_http.hpp"

#include <curl/curl.h>

#include <algorithm>
#include <memory>

namespace rattan::standin {

namespace {

/** curl write callback: appends a piece of the response body. */
size_t append_body(char* data, size_t size, size_t count, void* target) {
    static_cast<std::string*>(target)->append(data, size * count);
    return size * count;
}

/** curl header callback: stores one header under its lower-case name. */
size_t store_header(char* data, size_t size, size_t count, void* target) {
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

blocking_response send_http_request(const blocking_request& request) {
    blocking_response response;
    const std::unique_ptr<CURL, void (*)(CURL*)> easy(curl_easy_init(),
                                                      curl_easy_cleanup);
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    for (const auto& [name, value] : request.headers)
        headers = curl_slist_append(headers, (name + ": " + value).c_str());
    curl_easy_setopt(easy.get(), CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, request.timeout_ms);
    curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (!request.body.empty() || request.method == "POST") {
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, request.body.c_str());
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(request.body.size()));
    }
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &append_body);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &response.body);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, &store_header);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &response.headers);
    if (curl_easy_perform(easy.get()) == CURLE_OK)
        curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &response.status);
    curl_slist_free_all(headers);
    return response;
}

} // namespace rattan::standin
