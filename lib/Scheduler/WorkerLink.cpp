#include "corianderscale/Scheduler/WorkerLink.h"

#include "corianderscale/Support/Log.h"

#include <utility>

namespace coriander {

namespace {

constexpr std::size_t RequestCapacity = 8192;
constexpr Duration QueueWait = std::chrono::milliseconds(50);
constexpr Duration LookUpTimeout = std::chrono::seconds(2);

} // namespace

/** One look-up of all workers of the VM list. */
struct WorkerLink::LookUpRound {
    std::atomic<std::size_t> pending = 0;
};

WorkerLink::WorkerLink(DataCentreId dataCentre,
                       Duration lookupInterval,
                       Store &store,
                       HttpClient &client,
                       Clock clock,
                       WorkerLinkOutputs outputs)
    : m_dataCentre(std::move(dataCentre))
    , m_lookupInterval(lookupInterval)
    , m_store(store)
    , m_client(client)
    , m_clock(std::move(clock))
    , m_outputs(std::move(outputs))
    , m_requests(RequestCapacity)
{
}

WorkerLink::~WorkerLink()
{
    stop();
}

void WorkerLink::start()
{
    m_thread = std::make_unique<DutyThread>("worker-link", [this] { step(); });
}

void WorkerLink::stop()
{
    m_thread.reset();
}

void WorkerLink::send(WorkerRequest request)
{
    if (!m_requests.push(request)) {
        m_outputs.answered(request, std::nullopt, true);
    }
}

void WorkerLink::step()
{
    for (std::optional<WorkerRequest> request = m_requests.pop(QueueWait); request; request = m_requests.tryPop()) {
        transmit(std::move(*request));
    }
    const MonotonicTime now = m_clock.now();
    const bool due = m_nextLookUp <= now || m_lookUpNow.exchange(false);
    if (due && !m_lookUpInProgress.exchange(true)) {
        m_nextLookUp = now + m_lookupInterval;
        lookUp();
    }
}

void WorkerLink::transmit(WorkerRequest request)
{
    HttpRequest message;
    message.method = "POST";
    message.path = "/v1/orders";
    message.body = encodeMessage(request.orders);
    const std::string address = request.address;
    const MonotonicTime deadline = request.deadline;
    m_client.send(
        address,
        message,
        deadline,
        [this, request = std::move(request)](const std::optional<HttpResponse> &response, const TransportError &error) {
            std::optional<WorkerReport> report;
            ProtocolError invalid;
            if (response && response->status == 200) {
                report = decodeMessage<WorkerReport>(response->body, invalid);
            }
            if (response && !report) {
                logEvent(LogLevel::Warning,
                         "worker-answer-invalid",
                         {{"worker", request.worker}, {"status", response->status}, {"reason", invalid.reason}});
            }
            m_outputs.answered(request, std::move(report), error.code == TransportCode::Unreachable);
        });
}

void WorkerLink::lookUp()
{
    m_store.listVms(m_clock.now() + LookUpTimeout,
                    [this](const std::optional<VmList> &list, const CoordinationError &error) {
                        if (!list) {
                            logEvent(LogLevel::Debug, "vm-list-unavailable", {{"reason", error.reason}});
                            m_lookUpInProgress = false;
                            return;
                        }
                        lookUpWorkers(*list);
                    });
}

void WorkerLink::lookUpWorkers(const VmList &list)
{
    std::vector<VmEntry> workers;
    std::set<std::string> listed;
    for (const VmEntry &vm : list.vms) {
        if (vm.role == "worker" && vm.dataCentre == m_dataCentre) {
            workers.push_back(vm);
            listed.insert(vm.id);
        }
    }
    for (const std::string &id : m_listedWorkers) {
        if (!listed.contains(id)) {
            m_outputs.unlisted(WorkerId(id));
        }
    }
    m_listedWorkers = std::move(listed);
    const auto round = std::make_shared<LookUpRound>();
    // One more than the workers, for this call itself: whichever completes last, an answer or this call, ends the
    // round.
    round->pending = workers.size() + 1;
    const auto completeOne = [this, round] {
        if (round->pending.fetch_sub(1) == 1) {
            m_outputs.listed();
            m_lookUpInProgress = false;
        }
    };
    for (const VmEntry &vm : workers) {
        HttpRequest request;
        request.path = "/v1/worker";
        m_client.send(vm.address,
                      request,
                      m_clock.now() + LookUpTimeout,
                      [this, completeOne, vm](const std::optional<HttpResponse> &response, const TransportError &) {
                          ProtocolError error;
                          const auto info = response && response->status == 200
                              ? decodeMessage<WorkerInfo>(response->body, error)
                              : std::nullopt;
                          if (info) {
                              m_outputs.seen(*info, vm.address);
                          }
                          completeOne();
                      });
    }
    completeOne();
}

} // namespace coriander
