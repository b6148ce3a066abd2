#pragma once

#include "corianderscale/Support/Error.h"

#include <optional>
#include <string>
#include <utility>

namespace coriander {

/** Owns a file descriptor and closes it on destruction. Thread safety: not thread safe. */
class FileDescriptor
{
public:
    explicit FileDescriptor(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }

    FileDescriptor(FileDescriptor &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }

    FileDescriptor &operator=(FileDescriptor &&other) noexcept
    {
        std::swap(m_descriptor, other.m_descriptor);
        return *this;
    }

    /** Closes the descriptor. */
    ~FileDescriptor();

    int get() const
    {
        return m_descriptor;
    }

    bool valid() const
    {
        return m_descriptor >= 0;
    }

private:
    int m_descriptor;
};

/** Opens a listening TCP socket on `address:port`; the address is numeric. Thread safety: any thread. */
FileDescriptor listenSocket(const std::string &address, TransportError &error);

/** Starts a non-blocking connection attempt to `address:port`. Thread safety: any thread. */
FileDescriptor connectSocket(const std::string &address, TransportError &error);

/** Accepts a connection; invalid when none is pending or the process has no file descriptors left. */
FileDescriptor acceptSocket(const FileDescriptor &listener);

/** Returns the errno value of a connection attempt that has ended; 0 when it succeeded. */
int connectError(const FileDescriptor &socket);

/** Result of one read or write on a socket. */
enum class SocketProgress {
    Done,
    WouldBlock,
    Closed,
};

/** Replaces @p into with the available input, at most 64 KiB. */
SocketProgress readSocket(const FileDescriptor &socket, std::string &into);

/** Writes from the front of @p from and removes the bytes that were written. */
SocketProgress writeSocket(const FileDescriptor &socket, std::string &from);

} // namespace coriander
