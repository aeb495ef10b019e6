#pragma once

#include "pimentostage/base/MetricRegistry.h"
#include "pimentostage/platform/CallBudget.h"
#include "pimentostage/platform/ObjectStore.h"
#include "src/base/HttpClient.h"

#include <functional>
#include <memory>
#include <string>

namespace pimentostage {

/// Options of a StoreClient.
struct StoreClientOptions
{
    std::string baseUrl_;
    Duration timeout_ = std::chrono::seconds(1);
    double callsPerSecond_ = 60; ///< this host's share of the rate that the store supports
    double callBurst_ = 60;
    std::shared_ptr<MemoryBudget> memory_; ///< if set, where unfinished replies are counted
};

/// ObjectStore that uses the HTTP protocol of the platform's store.
class StoreClient : public ObjectStore
{
public:
    /// Runs a function on the thread that handles the results.
    using Executor = std::function<void(std::function<void()>)>;

    StoreClient(const StoreClientOptions &options, Executor executor, MetricRegistry &metrics);
    ~StoreClient() override;

    void list(Done<StoreListing> done) override;
    void watch(Version since, Duration wait, Done<StoreListing> done) override;
    void get(const ObjectRef &ref, Done<StoredObject> done) override;
    void put(const ObjectRef &ref, const std::string &value, Version expected,
             Done<WriteResult> done) override;
    void remove(const ObjectRef &ref, Version expected, Done<WriteResult> done) override;
    void hosts(Done<std::vector<ListedHost>> done) override;

private:
    struct Call
    {
        Step step_ = Step::ReadStore;
        HttpRequest request_;
    };

    template <typename T>
    void send(Call call, Reply<T> (*decode)(const Call &, const HttpAnswer &), Done<T> done);
    template <typename T>
    void answer(const Done<T> &done, Reply<T> reply);
    [[nodiscard]] Call callFor(Step step, const char *method, const std::string &path) const;

    const StoreClientOptions options_;
    const Executor executor_;
    CallBudget budget_;
    Counter &reads_;
    Counter &writes_;
    Counter &failures_;
    Counter &overBudget_;
    HttpClient http_;
};

} // namespace pimentostage
