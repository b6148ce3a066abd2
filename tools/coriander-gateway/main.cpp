#include "corianderscale/Daemon/CommandLine.h"
#include "corianderscale/Gateway/GatewayDaemon.h"

int main(int argc, char **argv)
{
    coriander::GatewayDaemonSettings settings;
    coriander::DaemonProgram program;
    program.name = "coriander-gateway";
    program.purpose = "serves callers and operators over HTTP";
    program.readSettings = [&settings](coriander::YamlMap &map) {
        settings = coriander::GatewayDaemonSettings::read(map);
    };
    program.run = [&settings] {
        return coriander::runGateway(settings);
    };
    return coriander::runDaemon(argc, argv, program);
}
