#include "corianderscale/Transport/PeerStreams.h"

#include "corianderscale/Transport/DutyThread.h"
#include "corianderscale/Transport/PeerLoop.h"

#include <atomic>
#include <cassert>
#include <utility>

namespace coriander {

namespace {

constexpr std::size_t MinimumKeyBytes = 16;

} // namespace

class PeerStreams::Implementation
{
public:
    Implementation(Settings settings, Clock clock, PeerHandler handler)
        : m_loop(std::move(settings), std::move(clock), std::move(handler))
    {
    }

    ~Implementation()
    {
        stop();
    }

    bool start(TransportError &error)
    {
        if (!m_loop.listen(error)) {
            return false;
        }
        m_thread = std::make_unique<DutyThread>("peer-streams", [this] {
            if (!m_stopping) {
                m_loop.step();
            }
        });
        return true;
    }

    PeerLoop &loop()
    {
        return m_loop;
    }

private:
    void stop()
    {
        m_stopping = true;
        m_loop.wake();
        if (m_thread) {
            m_thread->stop();
        }
    }

    PeerLoop m_loop;
    /** Makes the thread skip PeerLoop::step(), which would wait, while it is being stopped. */
    std::atomic<bool> m_stopping = false;
    std::unique_ptr<DutyThread> m_thread;
};

PeerStreams::PeerStreams(Settings settings, Clock clock, PeerHandler handler)
{
    assert(settings.key.size() >= MinimumKeyBytes && "the shared key of peers must have at least 16 bytes");
    m_implementation = std::make_unique<Implementation>(std::move(settings), std::move(clock), std::move(handler));
}

PeerStreams::~PeerStreams() = default;

bool PeerStreams::start(TransportError &error)
{
    return m_implementation->start(error);
}

void PeerStreams::send(
    const std::string &address, const std::string &message, std::string body, MonotonicTime deadline, PeerReply done)
{
    auto request = std::make_shared<PeerRequest>();
    request->address = address;
    request->message = message;
    request->body = std::move(body);
    request->deadline = deadline;
    request->done = std::move(done);
    m_implementation->loop().push(std::move(request));
}

PeerTraffic PeerStreams::traffic() const
{
    return m_implementation->loop().traffic();
}

} // namespace coriander
