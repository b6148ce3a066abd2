#include "UriText.h"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace coriander {

namespace {

int hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

std::string percentEncode(const std::string &text)
{
    static constexpr char Digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~' || c == '/') {
            encoded += static_cast<char>(c);
            continue;
        }
        encoded += '%';
        encoded += Digits[c / 16];
        encoded += Digits[c % 16];
    }
    return encoded;
}

} // namespace

std::string percentDecode(const std::string &text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escaped
            = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
        if (!escaped) {
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
        i += 2;
    }
    return decoded;
}

std::optional<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code code;
    const auto ip = boost::asio::ip::make_address_v4(address.substr(0, colon), code);
    unsigned short port = 0;
    const char *end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (code || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

void parseTarget(const std::string &target, HttpRequest &request)
{
    const std::size_t question = target.find('?');
    request.encodedPath = target.substr(0, question);
    request.path = percentDecode(request.encodedPath);
    std::size_t start = question == std::string::npos ? target.size() : question + 1;
    while (start < target.size()) {
        const std::size_t end = std::min(target.find('&', start), target.size());
        const std::string pair = target.substr(start, end - start);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        const std::string value = equals < pair.size() ? pair.substr(equals + 1) : std::string();
        request.query.emplace(percentDecode(pair.substr(0, equals)), percentDecode(value));
        start = end + 1;
    }
}

std::string formatTarget(const HttpRequest &request)
{
    std::string target = percentEncode(request.path);
    char separator = '?';
    for (const auto &[name, value] : request.query) {
        target += separator + percentEncode(name) + '=' + percentEncode(value);
        separator = '&';
    }
    return target;
}

} // namespace coriander
