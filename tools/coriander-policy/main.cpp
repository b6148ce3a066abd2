#include "corianderscale/PolicyBench/CommandLine.h"

int main(int argc, char **argv)
{
    return coriander::policybench::runPolicyTool(argc, argv);
}
