#include "corianderscale/Daemon/CommandLine.h"
#include "corianderscale/Scheduler/SchedulerDaemon.h"

int main(int argc, char **argv)
{
    coriander::SchedulerSettings settings;
    coriander::DaemonProgram program;
    program.name = "coriander-scheduler";
    program.purpose = "places jobs, renews leases and records what ran";
    program.readSettings = [&settings](coriander::YamlMap &map) {
        settings = coriander::readSchedulerSettings(map);
    };
    program.run = [&settings] {
        return coriander::SchedulerDaemon(settings, coriander::systemClock()).run();
    };
    return coriander::runDaemon(argc, argv, program);
}
