#pragma once

/**
 * Subcommands of coriander-standin. Each takes its own name as first argument and returns an exit code.
 */
int runPlatform(int argc, char **argv);
int runEndpoint(int argc, char **argv);
int runWorker(int argc, char **argv);
