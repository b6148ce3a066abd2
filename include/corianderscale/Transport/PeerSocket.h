#pragma once

#include "corianderscale/Support/Error.h"

#include <optional>
#include <string>
#include <utility>

namespace coriander {

/** A file descriptor that is closed at the end. Thread safety: not thread safe. */
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

/** Starts a connection to `address:port` without waiting. Thread safety: any thread. */
FileDescriptor connectSocket(const std::string &address, TransportError &error);

/** Takes a waiting connection; invalid when there is none or the process has no descriptors left. */
FileDescriptor acceptSocket(const FileDescriptor &listener);

/** The error of a connection attempt that has ended; 0 when it succeeded. */
int connectResult(const FileDescriptor &socket);

/** What one read or write on a socket did. */
enum class SocketProgress {
    Done,
    WouldBlock,
    Closed,
};

/** Reads what is there into @p into, at most about 64 KiB. */
SocketProgress readSocket(const FileDescriptor &socket, std::string &into);

/** Writes from the front of @p from and removes what was written. */
SocketProgress writeSocket(const FileDescriptor &socket, std::string &from);

} // namespace coriander
