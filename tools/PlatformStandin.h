#pragma once

#include "pimentostage/platform/ObjectStore.h"
#include "src/base/EventLoop.h"
#include "src/base/PistacheServer.h"

#include <deque>
#include <list>
#include <map>
#include <memory>

namespace pimentostage {

/// Faults that a PlatformStandin injects.
struct PlatformFaults
{
    bool down_ = false; ///< every request is answered with 503
    bool hanging_ = false; ///< no request is answered
    Duration delay_ {}; ///< added to every answer
    std::int64_t loseAnswers_ = 0; ///< number of next writes to apply without sending an answer
    Duration hostLag_ {}; ///< delay until the host list shows a change
};

/// A simulated object store and host list of the platform.
///
/// All state is confined to the EventLoop's thread.
class PlatformStandin
{
public:
    PlatformStandin();
    ~PlatformStandin();

    /// @return nothing, or an Error of step Listen.
    leaf::result<void> start(const Address &address);
    void stop();

private:
    struct Exchange;
    struct Watch
    {
        std::uint64_t id_ = 0;
        Version since_;
        std::shared_ptr<Exchange> exchange_;
    };
    struct Endpoint
    {
        const char *method_;
        const char *prefix_;
        void (PlatformStandin::*handle_)(const std::shared_ptr<Exchange> &);
    };
    static const Endpoint kEndpoints[];

    void dispatch(const std::shared_ptr<Exchange> &exchange);
    void list(const std::shared_ptr<Exchange> &exchange);
    void get(const std::shared_ptr<Exchange> &exchange);
    void put(const std::shared_ptr<Exchange> &exchange);
    void remove(const std::shared_ptr<Exchange> &exchange);
    void write(const std::shared_ptr<Exchange> &exchange, StoredObject next);
    void watch(const std::shared_ptr<Exchange> &exchange);
    void completeWatch(std::uint64_t id);
    void hosts(const std::shared_ptr<Exchange> &exchange);
    void putHost(const std::shared_ptr<Exchange> &exchange);
    void removeHost(const std::shared_ptr<Exchange> &exchange);
    void publishHosts();
    void setFaults(const std::shared_ptr<Exchange> &exchange);
    void stats(const std::shared_ptr<Exchange> &exchange);
    void answer(const std::shared_ptr<Exchange> &exchange, int status, std::string body);
    [[nodiscard]] StoreListing changesSince(Version since) const;

    std::map<ObjectRef, StoredObject> objects_;
    Version revision_;
    std::list<Watch> watches_;
    std::uint64_t lastWatchId_ = 0;
    std::map<std::string, ListedHost> hosts_;
    std::map<std::string, ListedHost> visibleHosts_; ///< behind hosts_ by hostLag_
    PlatformFaults faults_;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::vector<std::shared_ptr<Exchange>> unanswered_; ///< kept alive so that no answer is sent
    PistacheServer server_;
    EventLoop loop_ { "platform-state" };
};

} // namespace pimentostage
