#pragma once

#include "src/daemon/ControlCore.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/FeedStore.h"
#include "tests/fakes/RecordingLog.h"
#include "tests/fakes/UnreachableRangeLink.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pimentostage {

/// @return the feeds of the platform's store.
inline std::vector<StoreFeed> platformFeeds()
{
    using namespace std::chrono_literals;
    return {
        { { ObjectKind::Catalogue }, 500ms, {}, true },
        { { ObjectKind::Backend }, 15s, 150ms, false },
        { { ObjectKind::Zone }, 15s, {}, false },
        { { ObjectKind::Role, ObjectKind::RangePlacement, ObjectKind::EntryHost }, 5s, 1s, false }
    };
}

/// @return the options that deploy/settings.ini gives to a deployment without teams.
inline ControlOptions platformOptions(Duration changeDeadline)
{
    using namespace std::chrono_literals;
    constexpr double kReaderSilenceShare = 0.85;
    ControlOptions options;
    options.tick_ = 40ms;
    options.accountGroups_ = 0;
    options.changeDeadline_ = changeDeadline;
    options.majorityConfirms_ = false;
    options.readers_ = 2;
    options.isFirstStart_ = true;
    options.readerSilence_ = fromSeconds(kReaderSilenceShare * toSeconds(changeDeadline));
    options.membership_.probePeriod_ = 400ms;
    options.membership_.directTimeout_ = 150ms;
    options.membership_.indirectTimeout_ = 150ms;
    options.membership_.suspicionTimeout_ = 300ms;
    return options;
}

/// The control state of a whole fleet that shares one store with feeds, over links that lose
/// nothing.
class FeedFleet
{
public:
    /// @param options of each host; the seeds are set here.
    FeedFleet(std::size_t hosts, std::vector<StoreFeed> feeds, const ControlOptions &options)
        : options_(options)
        , store_(events_, std::move(feeds))
    {
        for (std::size_t i = 0; i < hosts; ++i)
            hosts_.push_back(std::make_unique<Host>(*this, i));
        for (const auto &host : hosts_)
            options_.seeds_.push_back(host->self_.address_);
        for (std::size_t i = 0; i < hosts; ++i) {
            events_.after(i * kStartDistance, [this, i] { start(*hosts_[i]); });
        }
    }

    FeedStore &store() { return store_; }
    void run(Duration duration)
    {
        events_.runUntil(events_.now() + duration, [] {});
    }

    /// @return the number of hosts for which @p holds is true.
    std::size_t count(const std::function<bool(const ControlCore &)> &holds) const
    {
        std::size_t count = 0;
        for (const auto &host : hosts_)
            count += host->core_ && holds(*host->core_) ? 1 : 0;
        return count;
    }

    [[nodiscard]] std::size_t hostCount() const { return hosts_.size(); }
    /// @return the table that the traffic threads of a host read.
    [[nodiscard]] std::shared_ptr<const RoutingTable> routingOf(std::size_t host) const
    {
        return hosts_.at(host)->routing_.load();
    }
    /// @return the present time on all hosts.
    [[nodiscard]] TimePoint now() const { return TimePoint(std::chrono::hours(1)) + events_.now(); }

    /// @return the number of lines with all of @p parts in the log of each host, summed.
    std::size_t logged(const std::vector<std::string> &parts) const
    {
        std::size_t count = 0;
        for (const auto &host : hosts_)
            count += host->log_.count(parts);
        return count;
    }

private:
    static constexpr Duration kStartDistance = std::chrono::milliseconds(5);
    static constexpr Duration kNetworkDelay = std::chrono::milliseconds(2);
    static constexpr std::size_t kZones = 4;

    struct Host
        : SiblingSender
        , BackendLink
    {
        Host(FeedFleet &fleet, std::size_t index)
            : fleet_(fleet)
            , routing_(std::make_shared<RoutingTable>())
            , views_(std::make_shared<TrafficView>())
        {
            self_.member_
                = Member { HostName("entry-" + std::to_string(index)), Incarnation { 1 + index } };
            self_.address_ = Address { "10.0.0.1", static_cast<std::uint16_t>(1 + index) };
            self_.zone_ = ZoneName("zone-" + std::to_string(index % kZones));
        }

        void send(const HostName &to, const SiblingMessage &message) override
        {
            fleet_.events_.after(kNetworkDelay, [this, to, message] {
                Host *target = fleet_.find(to);
                if (target && target->core_)
                    target->core_->onSiblingMessage(self_, message);
            });
        }
        void grant(const Address &, const Grant &, OnGrantReply) override { }
        void probe(const Address &, OnProbeReply) override { }

        FeedFleet &fleet_;
        MemberUpdate self_;
        RecordingLog log_;
        MetricRegistry metrics_;
        UnreachableRangeLink ranges_;
        SnapshotPublisher<RoutingTable> routing_;
        SnapshotPublisher<TrafficView> views_;
        std::unique_ptr<ControlCore> core_;
    };

    /// @param name a host's name, or the address of a seed whose name is not known yet.
    Host *find(const HostName &name)
    {
        for (const auto &host : hosts_) {
            if (host->self_.member_.host_ == name || host->self_.address_.str() == name.str())
                return host.get();
        }
        return nullptr;
    }

    void start(Host &host)
    {
        const ControlPorts ports {
            store_,
            host,
            host,
            host.ranges_,
            [this](Duration delay, std::function<void()> task) {
                events_.after(delay, std::move(task));
            },
            [this] { return now(); },
            host.self_.member_.incarnation_.value_,
        };
        host.core_ = std::make_unique<ControlCore>(host.self_, options_, ports, host.routing_,
                                                   host.views_, host.log_, host.metrics_);
        host.core_->start();
        tick(host);
    }

    void tick(Host &host)
    {
        host.core_->tick();
        events_.after(options_.tick_, [this, &host] { tick(host); });
    }

    ControlOptions options_;
    EventQueue events_;
    FeedStore store_;
    std::vector<std::unique_ptr<Host>> hosts_;
};

} // namespace pimentostage
