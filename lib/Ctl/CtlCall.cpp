#include "corianderscale/Daemon/CommandLine.h"

#include "Commands.h"

namespace coriander {

std::string CtlCall::option(const std::string &name) const
{
    const auto found = options.find(name);
    return found == options.end() ? std::string() : found->second;
}

bool CtlCall::asJson() const
{
    return option("output") == "json";
}

std::optional<Json> CtlCall::readJson(const std::optional<HttpResponse> &response, int &exitCode) const
{
    if (!response) {
        *hooks.err << "corianderctl: no gateway answered\n";
        exitCode = ExitUnreachable;
        return std::nullopt;
    }
    if (response->status >= 300) {
        exitCode = printError(*response, *hooks.err);
        return std::nullopt;
    }
    exitCode = ExitSuccess;
    return Json::parse(response->body);
}

std::optional<Json> CtlCall::readJsonOrPrint(const std::optional<HttpResponse> &response, int &exitCode) const
{
    if (!asJson()) {
        return readJson(response, exitCode);
    }
    exitCode = printJson(response);
    return std::nullopt;
}

int CtlCall::printJson(const std::optional<HttpResponse> &response) const
{
    int exitCode = ExitSuccess;
    if (const std::optional<Json> json = readJson(response, exitCode)) {
        *hooks.out << json->dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
    }
    return exitCode;
}

std::string cellText(const Json &object, const std::string &key)
{
    const auto found = object.find(key);
    if (found == object.end() || found->is_null()) {
        return {};
    }
    if (found->is_boolean()) {
        return found->get<bool>() ? "yes" : "no";
    }
    return found->is_string() ? found->get<std::string>() : found->dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::int64_t numberValue(const Json &object, const std::string &key)
{
    return object.value(key, std::int64_t(0));
}

} // namespace coriander
