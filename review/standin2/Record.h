#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/** Writes what was sent, answered and run, one line each with the time since the start, to a file. Thread safe. */
class Record
{
public:
    explicit Record(const std::string &file)
        : m_file(file)
    {
    }

    double seconds() const
    {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_start).count();
    }

    void write(const std::string &line)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", seconds());
        m_file << time << line << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

} // namespace review
