#pragma once

#include <fmt/format.h>

#include <cassert>
#include <string>
#include <unistd.h>

namespace coriander {

/**
 * Returns a loopback port for this test process. The block of ports depends on the process id, so that concurrent test
 * processes use different ports. All ports are below the range that the kernel uses for outgoing connections.
 *
 * Precondition: @p index is from 0 to 15.
 */
inline int testPort(int index)
{
    constexpr int FirstPort = 18000;
    constexpr int PortsPerProcess = 16;
    constexpr int PortBlocks = 850;
    assert(index >= 0 && index < PortsPerProcess && "each test process has a block of 16 ports");
    return FirstPort + (getpid() % PortBlocks) * PortsPerProcess + index;
}

/** Returns the base address of testPort(). */
inline std::string testAddress(int index)
{
    return fmt::format("http://127.0.0.1:{}", testPort(index));
}

} // namespace coriander
