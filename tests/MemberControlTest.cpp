#include "src/daemon/MemberControl.h"
#include "tests/fakes/NullLog.h"

#include <gtest/gtest.h>

#include <vector>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart = TimePoint(1h);

/// Records the messages that a host sends.
class SentMessages : public SiblingSender
{
public:
    void send(const HostName &, const SiblingMessage &message) override
    {
        messages_.push_back(message);
    }

    /// @return the last probe sent.
    [[nodiscard]] Probe lastProbe() const
    {
        for (auto message = messages_.rbegin(); message != messages_.rend(); ++message) {
            if (const auto *probe = std::get_if<Probe>(&*message))
                return *probe;
        }
        return {};
    }

    std::vector<SiblingMessage> messages_;
};

MemberUpdate hostOf(const std::string &name)
{
    MemberUpdate update;
    update.member_ = Member { HostName(name), Incarnation { 1 } };
    return update;
}

/// One host's MemberControl with one other host in its view.
class MemberControlTest : public testing::Test
{
protected:
    MemberControlTest() { control_.membership().merge(other_, kStart); }

    /// @return a summary equal to this host's, confirmed @p age ago.
    ConfigSummary equalSummary(Duration age) const
    {
        return ConfigSummary { config_.revision(), config_.digest(), config_.confirmedDigest(),
                               age };
    }

    Probe probeFrom(const MemberUpdate &sender) const
    {
        Probe probe;
        probe.origin_ = sender.member_.host_;
        probe.target_ = self_.member_.host_;
        probe.config_ = equalSummary(100ms);
        return probe;
    }

    std::vector<ConfigPull> pulls() const
    {
        std::vector<ConfigPull> pulls;
        for (const SiblingMessage &message : sent_.messages_) {
            if (const auto *pull = std::get_if<ConfigPull>(&message))
                pulls.push_back(*pull);
        }
        return pulls;
    }

    ProbeAck answerTo(const Probe &probe, Duration age) const
    {
        ProbeAck ack;
        ack.origin_ = probe.origin_;
        ack.responder_ = other_.member_.host_;
        ack.sequence_ = probe.sequence_;
        ack.config_ = equalSummary(age);
        return ack;
    }

    MemberUpdate self_ = hostOf("self");
    MemberUpdate other_ = hostOf("host-1");
    ConfigState config_;
    SentMessages sent_;
    NullLog log_;
    MemberControl control_ {
        self_, Random(1), {}, config_, sent_, log_, [](const ConfigPush &) {}
    };
};

// Guards against knowledge that counts as younger than it is: an answer to a probe of this host's
// former process was taken for that to the probe with the same number, which was sent later.
TEST_F(MemberControlTest, AnAnswerToTheFormerProcessConfirmsNothing)
{
    control_.tick(kStart);
    const Probe formerProbe = sent_.lastProbe();
    MemberUpdate next = self_;
    next.member_.incarnation_ = Incarnation { 2'000'000 };
    MemberControl control(next, Random(1), {}, config_, sent_, log_, [](const ConfigPush &) {});
    control.membership().merge(other_, kStart);
    control.tick(kStart + 1s);
    const Probe ownProbe = sent_.lastProbe();
    control.onMessage(other_.member_.host_, answerTo(formerProbe, 100ms), kStart + 1s);
    EXPECT_FALSE(config_.age(kStart + 1s));
    control.onMessage(other_.member_.host_, answerTo(ownProbe, 100ms), kStart + 1s);
    EXPECT_TRUE(config_.age(kStart + 1s));
}

// A fleet of 195 hosts starts at once: a read of the store shows none of them, and each believed
// itself to be the reader for all.
TEST(MemberControlSeeds, AreProbedUntilAnotherHostIsInTheView)
{
    const MemberUpdate self = hostOf("self");
    ConfigState config;
    SentMessages sent;
    NullLog log;
    MemberControl control(self, Random(1), {}, config, sent, log, [](const ConfigPush &) {});
    const Address seed { "10.0.0.9", 7100 };
    control.addSeeds({ seed });
    control.updateListed({});
    control.tick(kStart);
    const Probe probe = sent.lastProbe();
    EXPECT_EQ(probe.target_.str(), seed.str());

    ProbeAck ack;
    ack.origin_ = self.member_.host_;
    ack.responder_ = HostName("other");
    ack.sequence_ = probe.sequence_;
    ack.updates_ = { hostOf("other") };
    control.onMessage(ack.responder_, ack, kStart + 1ms);
    EXPECT_EQ(control.membership().view().size(), 2U);
    control.updateListed({});
    EXPECT_FALSE(control.membership().find(HostName(seed.str())));
}

/// Keeps the last line.
class LastLine : public LogSink
{
public:
    void write(const LogLine &line) override { text_ = line.json(); }

    std::string text_;
};

// Guards against lines whose size grows with the fleet: during the start of 195 hosts, each logged
// its whole view with each of some 60 changes.
TEST(MemberControlLog, NamesOnlyTheHostsThatJoinedOrLeft)
{
    ConfigState config;
    SentMessages sent;
    LastLine log;
    MemberControl control(hostOf("self"), Random(1), {}, config, sent, log,
                          [](const ConfigPush &) {});
    control.membership().merge(hostOf("a"), kStart);
    control.tick(kStart);
    MemberUpdate left = hostOf("a");
    left.liveness_ = Liveness::Left;
    control.membership().merge(left, kStart);
    control.membership().merge(hostOf("b"), kStart);
    control.tick(kStart);
    EXPECT_NE(log.text_.find(R"("hosts":2,"joined":"b","left":"a"})"), std::string::npos)
        << log.text_;
}

TEST(MemberControlSeeds, AnswersAProbeThatNamesItsAddress)
{
    MemberUpdate self = hostOf("self");
    self.address_ = Address { "10.0.0.9", 7100 };
    ConfigState config;
    SentMessages sent;
    NullLog log;
    MemberControl control(self, Random(1), {}, config, sent, log, [](const ConfigPush &) {});
    Probe probe;
    probe.origin_ = HostName("other");
    probe.target_ = HostName(self.address_.str());
    probe.sequence_ = 5;
    probe.updates_ = { hostOf("other") };
    control.onMessage(probe.origin_, probe, kStart);
    ASSERT_EQ(sent.messages_.size(), 1U);
    const auto *ack = std::get_if<ProbeAck>(&sent.messages_.front());
    ASSERT_TRUE(ack);
    EXPECT_EQ(ack->responder_, self.member_.host_);
    EXPECT_EQ(ack->sequence_, 5U);
}

TEST_F(MemberControlTest, DatesAConfirmationFromTheTimeOfItsProbe)
{
    control_.tick(kStart);
    control_.onMessage(other_.member_.host_, answerTo(sent_.lastProbe(), 300ms), kStart + 90ms);
    ASSERT_TRUE(config_.age(kStart));
    EXPECT_GE(*config_.age(kStart), 300ms);
    EXPECT_LE(*config_.age(kStart), 310ms);
}

// Guards against requests to a back end that has left: a host that has not received its entry must
// not take the confirmation of a host that has.
TEST_F(MemberControlTest, AConfirmationOfBackEndsCountsOnlyIfTheyAreEqual)
{
    control_.tick(kStart);
    ProbeAck answer = answerTo(sent_.lastProbe(), 100ms);
    const std::uint64_t digest = config_.confirmedDigest(KnowledgeArea::Backends);
    answer.config_.areas_
        = { { KnowledgeArea::Backends, digest + 1, 100ms }, { KnowledgeArea::Zones, 0, 200ms } };
    control_.onMessage(other_.member_.host_, answer, kStart);
    EXPECT_FALSE(config_.age(kStart, KnowledgeArea::Backends));
    ASSERT_TRUE(config_.age(kStart, KnowledgeArea::Zones));
    EXPECT_GE(*config_.age(kStart, KnowledgeArea::Zones), 200ms);
    EXPECT_TRUE(config_.age(kStart)) << "the configuration is equal";
}

// A probe's delay in transit is unknown. If it confirmed the configuration, a key withdrawn in the
// meantime would remain valid at a host that was frozen or isolated.
TEST_F(MemberControlTest, ADelayedProbeConfirmsNothing)
{
    control_.tick(kStart);
    control_.onMessage(other_.member_.host_, probeFrom(other_), kStart + 10s);
    EXPECT_FALSE(config_.age(kStart + 10s));
}

TEST_F(MemberControlTest, ADelayedAnswerIsDatedFromItsProbe)
{
    control_.tick(kStart);
    const Probe probe = sent_.lastProbe();
    control_.tick(kStart + 10s); // after a freeze
    control_.onMessage(other_.member_.host_, answerTo(probe, 100ms), kStart + 10s);
    ASSERT_TRUE(config_.age(kStart + 10s));
    EXPECT_GE(*config_.age(kStart + 10s), 10s);
}

// Guards against a host counting a majority with a newer configuration as a confirmation of its own
// configuration. This happened at a host that had been frozen and could not reach the store
// (CoreFuzz, seeds 306 and 309).
TEST_F(MemberControlTest, OnlyHostsWithTheSameConfigurationConfirmIt)
{
    ListedHost listed;
    listed.name_ = "host-1";
    ListedHost third = listed;
    third.name_ = "host-2";
    control_.updateListed({ listed, third });
    control_.tick(kStart);
    ProbeAck answer = answerTo(sent_.lastProbe(), 100ms);
    control_.onMessage(other_.member_.host_, answer, kStart + 1ms);
    EXPECT_TRUE(control_.agreesWithMajority(kStart + 1ms)) << "two of three";
    control_.tick(kStart + 200ms);
    answer = answerTo(sent_.lastProbe(), 100ms);
    answer.config_.confirmedDigest_ += 1;
    control_.onMessage(other_.member_.host_, answer, kStart + 201ms);
    EXPECT_FALSE(control_.agreesWithMajority(kStart + 201ms));
}

TEST_F(MemberControlTest, ADelayedAnswerDoesNotCountTowardsTheMajority)
{
    ListedHost listed;
    listed.name_ = "host-1";
    control_.updateListed({ listed });
    control_.tick(kStart);
    const Probe probe = sent_.lastProbe();
    control_.tick(kStart + 10s);
    control_.onMessage(other_.member_.host_, answerTo(probe, 100ms), kStart + 10s);
    EXPECT_FALSE(control_.agreesWithMajority(kStart + 10s));
}

// Guards against a fleet that counts its agreement as a confirmation although no host of it could
// read the version that the store has.
TEST_F(MemberControlTest, AMajorityThatRejectedAVersionDoesNotConfirm)
{
    ListedHost listed;
    listed.kind_ = HostKind::Entry;
    listed.name_ = "host-1";
    control_.updateListed({ listed });
    config_.apply({ { ObjectKind::Zone, "north" }, Version { 6 }, false, "[]" });
    control_.tick(kStart);
    const Probe probe = sent_.lastProbe();
    control_.onMessage(other_.member_.host_, answerTo(probe, 100ms), kStart + 1ms);
    EXPECT_FALSE(control_.agreesWithMajority(kStart + 1ms));
    config_.apply({ { ObjectKind::Zone, "north" }, Version { 7 }, true, {} });
    control_.tick(kStart + 1s);
    const Probe next = sent_.lastProbe();
    control_.onMessage(other_.member_.host_, answerTo(next, 100ms), kStart + 1001ms);
    EXPECT_TRUE(control_.agreesWithMajority(kStart + 1001ms));
}

// While a change spreads over 69 hosts, their digests differ briefly. Guards against each host
// pulling all objects from others every 50 ms: the replies saturated the links that the change
// itself needed.
TEST_F(MemberControlTest, DoesNotPullWhatIsInTransit)
{
    config_.confirm(kStart);
    Probe probe = probeFrom(other_);
    probe.config_.digest_ += 1;
    for (Duration at {}; at < 250ms; at += 50ms)
        control_.onMessage(other_.member_.host_, probe, kStart + at);
    EXPECT_TRUE(pulls().empty());
    for (Duration at = 300ms; at < 1s; at += 50ms)
        control_.onMessage(other_.member_.host_, probe, kStart + at);
    ASSERT_EQ(pulls().size(), 2U) << "one at a time";
    EXPECT_EQ(pulls().front().since_, config_.revision()) << "only newer objects";
    for (Duration at = 1200ms; at < 1500ms; at += 50ms)
        control_.onMessage(other_.member_.host_, probe, kStart + at);
    EXPECT_EQ(pulls().back().since_, Version {})
        << "the first pulls did not resolve the difference";
}

// Guards against a host treating a difference from its source as resolved because other hosts lack
// the same change. A host was still sending requests to a back end 2.8 s after the back end had
// announced that it was leaving (natalina-serra-grown scale-1).
TEST_F(MemberControlTest, PullsFromItsSourceWhatOtherHostsLackToo)
{
    config_.confirm(kStart);
    const MemberUpdate source = hostOf("source");
    control_.membership().merge(source, kStart);
    control_.setSource(source.member_.host_);
    config_.adoptRevision(Version { 9 }); // from another reader
    Probe newer = probeFrom(source);
    newer.config_.digest_ += 1;
    newer.config_.revision_ = Version { 8 };
    for (Duration at {}; at < 600ms; at += 100ms) {
        control_.onMessage(source.member_.host_, newer, kStart + at);
        control_.onMessage(other_.member_.host_, probeFrom(other_), kStart + at + 50ms);
    }
    EXPECT_EQ(pulls().size(), 1U);
}

// A host that started after a deletion has no record of it, so pulls from that host never return
// it.
TEST_F(MemberControlTest, ReportsDivergenceThatPullsDoNotResolve)
{
    config_.confirm(kStart);
    Probe probe = probeFrom(other_);
    probe.config_.digest_ += 1;
    control_.onMessage(other_.member_.host_, probe, kStart);
    EXPECT_FALSE(control_.hasDiverged(kStart + 2s));
    EXPECT_TRUE(control_.hasDiverged(kStart + 3s));
    control_.onMessage(other_.member_.host_, probeFrom(other_), kStart + 3s);
    EXPECT_FALSE(control_.hasDiverged(kStart + 3s));
}

} // namespace
