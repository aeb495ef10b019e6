#include "src/daemon/ConfigPublisher.h"

#include <algorithm>

namespace pimentostage {

namespace {

/// @return whether the hosts that write objects of @p kind send them to the others themselves.
bool isSentByItsWriter(ObjectKind kind)
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
    std::vector<StoredObject> changes = config_.changesSince(publishedUpTo_);
    for (const StoredObject &object : changes)
        publishedUpTo_ = std::max(publishedUpTo_, object.version_);
    if (!isReader)
        return;
    std::erase_if(changes,
                  [](const StoredObject &object) { return isSentByItsWriter(object.ref_.kind_); });
    publish(changes);
}

// In random order, so that a message does not take the same way each time.
void ConfigPublisher::publish(const std::vector<StoredObject> &objects)
{
    if (objects.empty())
        return;
    const std::vector<Member> strongest = membership_.strongest();
    std::vector<FanOutReceiver> receivers;
    for (const Member &member : membership_.view()) {
        if (member == self_.member_)
            continue;
        const bool isStrong
            = std::find(strongest.begin(), strongest.end(), member) != strongest.end();
        receivers.push_back({ member.host_, membership_.find(member.host_)->zone_, isStrong });
    }
    std::shuffle(receivers.begin(), receivers.end(), random_.engine());
    send(objects, fanOut(receivers, self_.zone_));
}

void ConfigPublisher::passOn(const ConfigPush &push)
{
    for (const StoredObject &object : push.objects_)
        publishedUpTo_ = std::max(publishedUpTo_, object.version_);
    send(push.objects_, fanOut(push.relayTo_));
}

// Without a revision: the receiver may have missed earlier changes.
void ConfigPublisher::send(const std::vector<StoredObject> &objects,
                           const std::vector<FanOutBranch> &branches)
{
    for (const FanOutBranch &branch : branches)
        siblings_.send(branch.to_, ConfigPush { Version {}, objects, branch.relayTo_ });
}

} // namespace pimentostage
