#pragma once

/** @name Subcommands of coriander-standin. They take the arguments from their own name on; return an exit code. */
///@{
int runPlatform(int argc, char **argv);
int runEndpoint(int argc, char **argv);
///@}
