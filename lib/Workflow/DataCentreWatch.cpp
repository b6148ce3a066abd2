#include "corianderscale/Workflow/DataCentreWatch.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>
#include <vector>

namespace coriander::workflow {

namespace {

/** An order is overdue this long after its answer was due; answers take a few ms, planning passes up to 200 ms. */
constexpr Duration OverdueAfter = std::chrono::milliseconds(300);
/** Number of overdue orders, without any answer since they were due, at which a data centre counts as silent. */
constexpr std::size_t MinimumOverdueOrders = 2;
/** A data centre without an overdue order for this long no longer counts as silent; longer than the pause between two
    orders to a worker. */
constexpr Duration SilenceEvidenceTime = std::chrono::milliseconds(1500);

struct Contact {
    MonotonicTime lastAnswerAt;
    std::vector<MonotonicTime> overdue;
};

std::map<DataCentreId, Contact> contactsOf(const WorkerTable &workers, MonotonicTime now)
{
    std::map<DataCentreId, Contact> contacts;
    for (const auto &[id, worker] : workers.all()) {
        Contact &contact = contacts[worker.report.dataCentre];
        contact.lastAnswerAt = std::max(contact.lastAnswerAt, worker.lastAnswerAt);
        if (worker.holdInFlight && now - worker.holdDueAt > OverdueAfter) {
            contact.overdue.push_back(worker.holdDueAt);
        }
        if (worker.startsInFlight > 0 && now - worker.startsDueAt > OverdueAfter) {
            contact.overdue.push_back(worker.startsDueAt);
        }
    }
    return contacts;
}

} // namespace

std::set<DataCentreId> DataCentreWatch::silentDataCentres(const WorkerTable &workers, MonotonicTime now)
{
    std::map<DataCentreId, Contact> contacts = contactsOf(workers, now);
    for (auto &[id, contact] : contacts) {
        std::erase_if(contact.overdue, [last = contact.lastAnswerAt](MonotonicTime due) { return due <= last; });
        const auto known = m_silent.find(id);
        if (known == m_silent.end()) {
            if (contact.overdue.size() >= MinimumOverdueOrders) {
                m_silent[id] = {now, now};
                logEvent(LogLevel::Warning,
                         "data-centre-silent",
                         {{"data_centre", id},
                          {"overdue_calls", contact.overdue.size()},
                          {"answer_age_ms",
                           std::chrono::duration_cast<std::chrono::milliseconds>(now - contact.lastAnswerAt).count()}});
            }
            continue;
        }
        if (!contact.overdue.empty()) {
            known->second.overdueAt = now;
        }
        const bool answered = contact.lastAnswerAt > known->second.since;
        if (answered || now - known->second.overdueAt > SilenceEvidenceTime) {
            logEvent(LogLevel::Info, "data-centre-answers", {{"data_centre", id}, {"answered", answered}});
            m_silent.erase(known);
        }
    }
    std::set<DataCentreId> silent;
    for (const auto &[id, silence] : m_silent) {
        if (contacts.count(id) > 0) {
            silent.insert(id);
        }
    }
    return silent.size() == contacts.size() ? std::set<DataCentreId>() : silent;
}

} // namespace coriander::workflow
