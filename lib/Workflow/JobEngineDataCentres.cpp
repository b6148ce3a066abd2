#include "corianderscale/Support/Log.h"
#include "corianderscale/Workflow/JobEngine.h"

#include <algorithm>

namespace coriander::workflow {

bool JobEngine::isEvacuated(const Worker &worker) const
{
    return m_evacuatedDataCentres.count(worker.report.dataCentre) > 0;
}

bool JobEngine::knowsEvacuations(MonotonicTime now) const
{
    return m_evacuationsReadAt && now - *m_evacuationsReadAt <= m_times.maximumEvacuationsAge;
}

const std::set<DataCentreId> &JobEngine::evacuatedDataCentres() const
{
    return m_evacuatedDataCentres;
}

std::size_t JobEngine::runsIn(const DataCentreId &dataCentre) const
{
    std::size_t runs = 0;
    for (const auto &[id, worker] : m_workers.all()) {
        if (worker.report.dataCentre == dataCentre) {
            runs
                += static_cast<std::size_t>(std::count_if(worker.runs.begin(), worker.runs.end(), [](const auto &each) {
                       return each.second.start != StartState::NotSent;
                   }));
        }
    }
    return runs;
}

std::size_t JobEngine::workersIn(const DataCentreId &dataCentre) const
{
    return static_cast<std::size_t>(
        std::count_if(m_workers.all().begin(), m_workers.all().end(), [&dataCentre](const auto &each) {
            return each.second.report.dataCentre == dataCentre;
        }));
}

void JobEngine::evacuationsRead(MonotonicTime asOf)
{
    const bool known = knowsEvacuations(m_clock.now());
    m_evacuationsReadAt = std::max(m_evacuationsReadAt.value_or(asOf), asOf);
    m_planWanted = m_planWanted || !known;
}

void JobEngine::setEvacuatedDataCentres(std::set<DataCentreId> evacuated)
{
    const std::set<DataCentreId> before = std::exchange(m_evacuatedDataCentres, std::move(evacuated));
    m_poolsOutdated = true;
    for (const DataCentreId &dataCentre : before) {
        if (m_evacuatedDataCentres.count(dataCentre) == 0) {
            m_emptyDataCentres.erase(dataCentre);
            m_planWanted = true;
            logEvent(LogLevel::Info,
                     "evacuation-ended",
                     {{"data_centre", dataCentre}, {"runs", runsIn(dataCentre)}, {"epoch", m_epoch}});
        }
    }
    for (const DataCentreId &dataCentre : m_evacuatedDataCentres) {
        if (before.count(dataCentre) > 0) {
            continue;
        }
        const std::size_t abandoned = abandonUnsentStarts(dataCentre);
        m_planWanted = true;
        logEvent(LogLevel::Info,
                 "evacuation-began",
                 {{"data_centre", dataCentre},
                  {"workers", workersIn(dataCentre)},
                  {"runs", runsIn(dataCentre)},
                  {"starts_abandoned", abandoned},
                  {"epoch", m_epoch}});
    }
    dropEvacuatedClaims();
}

std::size_t JobEngine::abandonUnsentStarts(const DataCentreId &dataCentre)
{
    std::size_t abandoned = 0;
    for (const auto &[id, worker] : m_workers.all()) {
        if (worker.report.dataCentre != dataCentre) {
            continue;
        }
        for (const auto &[key, run] : worker.runs) {
            if (run.start != StartState::NotSent || run.stopWanted) {
                continue;
            }
            ++abandoned;
            stopRun(id, key);
            Job *job = findJobOf(key.first);
            if (job != nullptr && job->step(key.first).gang) {
                stopGang(*job, key.first, key.second);
            }
        }
    }
    return abandoned;
}

void JobEngine::dropEvacuatedClaims()
{
    std::erase_if(m_claims, [this](const auto &each) {
        const std::vector<WorkerId> &claimed = each.second.workers;
        return std::any_of(claimed.begin(), claimed.end(), [this](const WorkerId &id) {
            const Worker *worker = m_workers.find(id);
            return worker != nullptr && isEvacuated(*worker);
        });
    });
}

void JobEngine::logEmptyDataCentres()
{
    if (m_discoveryReadAt <= m_startedAt) {
        return;
    }
    for (const DataCentreId &dataCentre : m_evacuatedDataCentres) {
        // Runs of a worker that has not answered in this term are not known yet.
        const bool known = std::all_of(m_workers.all().begin(), m_workers.all().end(), [&dataCentre](const auto &each) {
            const Worker &worker = each.second;
            return worker.report.dataCentre != dataCentre || !worker.listed || worker.known;
        });
        if (!known || runsIn(dataCentre) > 0) {
            m_emptyDataCentres.erase(dataCentre);
        } else if (m_emptyDataCentres.insert(dataCentre).second) {
            const std::size_t workers = workersIn(dataCentre);
            logEvent(workers == 0 ? LogLevel::Warning : LogLevel::Info,
                     "evacuation-empty",
                     {{"data_centre", dataCentre}, {"workers", workers}, {"epoch", m_epoch}});
        }
    }
}

} // namespace coriander::workflow
