#pragma once

#include <cstddef>

namespace coriander::decision {

/**
 * The memory that the jobs which have not ended take in the owner. Each entry VM refuses further jobs while it is full,
 * because the next owner may have less memory.
 *
 * Load pattern: callers that hand in jobs for longer than they are done, or jobs that can never be done; thousands a
 * minute, each of legal size. Ordinary jobs take some 1 kB, and the deployments have fewer than 1,000 open at a time.
 *
 * Thread safety: none.
 */
class JobBacklog
{
public:
    /** A fifth of the memory of the smallest VM. */
    static constexpr std::size_t MaximumBytes = 24 * 1024 * 1024;

    explicit JobBacklog(std::size_t maximumBytes = MaximumBytes)
        : m_maximum(maximumBytes)
    {
    }

    void add(std::size_t bytes);
    /** Precondition: the bytes were added. */
    void remove(std::size_t bytes);

    std::size_t bytes() const
    {
        return m_bytes;
    }

    /** Becomes true at the maximum, and false again at seven eighths of it. */
    bool isFull() const
    {
        return m_full;
    }

private:
    std::size_t m_maximum;
    std::size_t m_bytes = 0;
    bool m_full = false;
};

} // namespace coriander::decision
