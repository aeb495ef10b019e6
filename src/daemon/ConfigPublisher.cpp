#include "src/daemon/ConfigPublisher.h"

#include <algorithm>

namespace pimentostage {

namespace {

/// @return whether the host that writes an object of @p kind also publishes it.
bool isPublishedByWriter(ObjectKind kind)
{
    return kind == ObjectKind::Role || kind == ObjectKind::RangePlacement
           || kind == ObjectKind::EntryHost;
}

} // namespace

ConfigPublisher::ConfigPublisher(MemberUpdate self, const ConfigState &config,
                                 const Membership &membership, SiblingSender &siblings,
                                 Random random)
    : self_(std::move(self))
    , config_(config)
    , membership_(membership)
    , siblings_(siblings)
    , random_(random)
{ }

void ConfigPublisher::publishRead(bool isReader)
{
    std::vector<StoredObject> changes = config_.changesSince(publishedVersions_);
    markPublished(changes);
    if (!isReader)
        return;
    std::erase_if(
        changes, [](const StoredObject &object) { return isPublishedByWriter(object.ref_.kind_); });
    publish(changes);
}

// The receivers are shuffled so that the relays differ from message to message.
void ConfigPublisher::publish(const std::vector<StoredObject> &objects)
{
    if (objects.empty())
        return;
    const std::vector<Member> highCapacityMembers = membership_.highCapacityMembers();
    std::vector<FanOutReceiver> receivers;
    for (const Member &member : membership_.view()) {
        if (member == self_.member_)
            continue;
        const bool isHighCapacity
            = std::find(highCapacityMembers.begin(), highCapacityMembers.end(), member)
              != highCapacityMembers.end();
        receivers.push_back(
            { member.host_, membership_.find(member.host_)->zone_, isHighCapacity });
    }
    std::shuffle(receivers.begin(), receivers.end(), random_.engine());
    send(objects, fanOut(receivers, self_.zone_));
}

void ConfigPublisher::relay(const ConfigPush &push)
{
    markPublished(push.objects_);
    send(push.objects_, fanOut(push.relayTo_));
}

void ConfigPublisher::markPublished(const std::vector<StoredObject> &objects)
{
    for (const StoredObject &object : objects) {
        Version &published = publishedVersions_.at(static_cast<std::size_t>(object.ref_.kind_));
        published = std::max(published, object.version_);
    }
}

// The push carries no revision because the receiver may have missed earlier changes.
void ConfigPublisher::send(const std::vector<StoredObject> &objects,
                           const std::vector<FanOutBranch> &branches)
{
    for (const FanOutBranch &branch : branches)
        siblings_.send(branch.to_, ConfigPush { Version {}, objects, branch.relayTo_ });
}

} // namespace pimentostage
