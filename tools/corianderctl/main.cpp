#include "corianderscale/Ctl/Ctl.h"
#include "corianderscale/Support/Log.h"
#include "corianderscale/Transport/HttpClient.h"

#include <cstdlib>
#include <iostream>
#include <thread>

int main(int argc, char **argv)
{
    using namespace coriander;
    setLogLevel(LogLevel::Warning);
    CtlHooks hooks;
    hooks.clock = systemClock();
    HttpClient client(hooks.clock);
    hooks.send = [&](const std::string &address, const HttpRequest &request, Duration wait, TransportError &error) {
        return client.call(address, request, hooks.clock.now() + wait, error);
    };
    hooks.sleep = [](Duration time) {
        std::this_thread::sleep_for(time);
    };
    const char *token = std::getenv("CORIANDER_TOKEN");
    hooks.tokenVariable = token == nullptr ? "" : token;
    hooks.out = &std::cout;
    hooks.err = &std::cerr;
    return runCtl({argv + 1, argv + argc}, hooks);
}
