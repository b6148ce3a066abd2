#pragma once

/**
 * Subcommands of coriander-standin. Each expects its own name in argv[0] and returns an exit code.
 */
int runPlatform(int argc, char **argv);
int runEndpoint(int argc, char **argv);
int runWorker(int argc, char **argv);
