#pragma once

#include "corianderscale/Coordination/StoreEngine.h"

#include <memory>
#include <string>

namespace coriander {

/**
 * Store over HTTP: a StoreEngine with an HTTP client and a thread that polls it.
 *
 * Thread safety: all methods from any thread. The destructor stops the engine: waiting calls complete with an error,
 * and calls in flight complete with their result or an error.
 */
class StoreClient : public Store
{
public:
    struct Settings {
        /** Base address of the platform, such as `http://127.0.0.1:9000`. */
        std::string platform;
        StoreEngine::Settings engine;
    };

    StoreClient(Settings settings, Clock clock);
    ~StoreClient() override;
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /** Sets the number of live instances that share the site's budgets; values below 1 count as 1. */
    void setLiveInstances(int instances);

    void commit(TableTransaction transaction, MonotonicTime deadline, CommitDone done) override;
    void read(std::vector<std::string> keys, MonotonicTime deadline, RowsDone done) override;
    void scan(TableScan scan, MonotonicTime deadline, RowsDone done) override;
    void putObject(std::string key, std::string content, MonotonicTime deadline, WriteDone done) override;
    void getObject(std::string key, MonotonicTime deadline, ObjectDone done) override;
    void listVms(MonotonicTime deadline, VmsDone done) override;
    StoreState state() const override;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace coriander
