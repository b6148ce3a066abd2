#pragma once

/** @name Subcommands of coriander-standin. They take the arguments from their own name on; return an exit code. */
///@{
int runWorker(int argc, char **argv);
///@}
