#include "corianderscale/Daemon/CommandLine.h"
#include "corianderscale/Support/Log.h"
#include "corianderscale/Support/LogWriter.h"
#include "corianderscale/Workflow/NodeDaemon.h"

#include "platform/Binding.h"

int main(int argc, char **argv)
{
    coriander::workflow::NodeSettings settings;
    coriander::DaemonProgram program;
    program.name = "coriander-node";
    program.purpose = "takes jobs on the platform and, as the elected owner, runs them on workers";
    program.blocksSignals = false;
    program.readSettings = [&settings](coriander::YamlMap &map) {
        settings = coriander::workflow::readNodeSettings(map);
    };
    program.run = [&settings] {
        coriander::LogWriter log;
        coriander::setLogProcess("coriander-node", settings.instance);
        return coriander::workflow::NodeDaemon(
                   settings, coriander::suspendAwareClock(), coriander::platform::makeBinding)
            .run();
    };
    return coriander::runDaemon(argc, argv, program);
}
