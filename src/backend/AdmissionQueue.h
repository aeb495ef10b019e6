#pragma once

#include "pimentostage/backend/AdmissionMetrics.h"
#include "pimentostage/backend/AdmissionRefusal.h"
#include "pimentostage/backend/RequestQueue.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace pimentostage {

/// Result of a wait for capacity.
enum class Admission { Admitted, Refused };

/// Identifies a queue of a host.
struct AdmissionQueueKey
{
    std::string name_; ///< the service, and the owner if the service is keyed
    AdmissionRule rule_ = AdmissionRule::TeamShares;

    auto operator<=>(const AdmissionQueueKey &) const = default;
};

/// A RequestQueue shared by the traffic threads of a host. Thread-safe.
class AdmissionQueue
{
public:
    /// Called once, on any traffic thread, with no lock held.
    using Done = std::function<void(Admission, const WaitingRequest &)>;

    /// @param metrics receives length and refusals; may be nullptr, must outlive this object.
    explicit AdmissionQueue(const FairQueueOptions &options, AdmissionQueueKey key = {},
                            AdmissionMetrics *metrics = nullptr);

    [[nodiscard]] AdmissionRule rule() const { return key_.rule_; }

    /// @return the number of waiting requests.
    [[nodiscard]] std::size_t waiting() const { return waiting_.load(std::memory_order_acquire); }

    /// Queues a request and assigns its ticket.
    /// @return whether it was queued; if not, @p done is not called.
    bool push(WaitingRequest request, Done done, TimePoint now);
    /// Puts back an admitted request for which there was no capacity, at its previous position.
    void putBack(const WaitingRequest &request, Done done, TimePoint now);
    /// Admits the next request, after capacity may have become available.
    void admitNext(TimePoint now);
    /// Refuses the requests that have waited too long.
    void expire(TimePoint now);

    /// @param spread random number in [0, 1).
    /// @return what the queue knows of @p request, which it refused.
    [[nodiscard]] AdmissionRefusal refusal(const WaitingRequest &request, double spread,
                                           TimePoint now);

private:
    /// A request in the queue.
    struct Entry
    {
        Done done_;
        std::uint32_t priority_ = 0;
    };

    void addEntry(const WaitingRequest &request, Done done);
    Done takeDone(QueueTicket ticket);
    Done takeRefused(QueueTicket ticket);
    void countRefusal(std::uint32_t priority);

    const AdmissionQueueKey key_;
    AdmissionMetrics *const metrics_;
    std::mutex mutex_;
    std::unique_ptr<RequestQueue> queue_;
    std::map<QueueTicket, Entry> entries_;
    QueueTicket lastTicket_ = 0;
    std::atomic<std::size_t> waiting_ { 0 };
};

/// The queues of a host: one per balanced service, and one per back end of a keyed service.
class AdmissionQueues
{
public:
    AdmissionQueues(const FairQueueOptions &options, MetricRegistry &metrics)
        : options_(options)
        , metrics_(metrics)
    { }

    /// @return the queue with @p key, created on first use.
    std::shared_ptr<AdmissionQueue> find(const AdmissionQueueKey &key);

private:
    const FairQueueOptions options_;
    AdmissionMetrics metrics_;
    std::mutex mutex_;
    std::map<AdmissionQueueKey, std::shared_ptr<AdmissionQueue>> queues_;
};

} // namespace pimentostage
