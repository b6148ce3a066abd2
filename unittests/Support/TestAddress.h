#pragma once

#include <fmt/format.h>

#include <cassert>
#include <string>
#include <unistd.h>

namespace coriander {

/**
 * Returns a loopback port for this test process. Concurrent test processes have different process ids and so get
 * different blocks of ports, below the range that the kernel hands out for outgoing connections.
 *
 * Precondition: @p index is from 0 to 15.
 */
inline int testPort(int index)
{
    constexpr int FirstPort = 18000;
    constexpr int PortsPerProcess = 16;
    constexpr int Blocks = 850;
    assert(index >= 0 && index < PortsPerProcess && "each test process has a block of 16 ports");
    return FirstPort + (getpid() % Blocks) * PortsPerProcess + index;
}

/** The base address of testPort(). */
inline std::string testAddress(int index)
{
    return fmt::format("http://127.0.0.1:{}", testPort(index));
}

} // namespace coriander
