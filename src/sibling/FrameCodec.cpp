#include "src/sibling/FrameCodec.h"

#include "src/base/Deflate.h"
#include "src/base/MessagePack.h"

#include <algorithm>
#include <array>
#include <map>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxElements = 1'000'000;
// Smaller payloads are sent as they are: they fit into a few packets.
constexpr std::size_t kMinCompressedBytes = std::size_t { 16 } * 1024;
// First byte of a compressed payload, which no value begins with in MessagePack. It is followed by
// the size of the payload before the compression, encoded like a frame's length.
constexpr std::uint8_t kCompressedMark = 0xc1;
constexpr std::size_t kCompressedHeaderBytes = 1 + kFrameLengthBytes;
constexpr unsigned kBitsPerByte = 8;
constexpr std::uint32_t kByteMask = 0xff;

template <typename T>
struct IsVector : std::false_type
{ };
template <typename T>
struct IsVector<std::vector<T>> : std::true_type
{ };
template <typename T>
struct IsFixedArray : std::false_type
{ };
template <typename T, std::size_t kSize>
struct IsFixedArray<std::array<T, kSize>> : std::true_type
{ };
template <typename T>
struct IsOptional : std::false_type
{ };
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type
{ };
template <typename T>
struct IsName : std::false_type
{ };
template <typename T>
struct IsName<Name<T>> : std::true_type
{ };
template <typename T>
struct IsMap : std::false_type
{ };
template <typename K, typename V>
struct IsMap<std::map<K, V>> : std::true_type
{ };
template <typename T>
struct IsSequence : std::false_type
{ };
template <typename T>
struct IsSequence<SequenceNumber<T>> : std::true_type
{ };

// One visitFields() for each type, used for both reading and writing. The order of the fields is
// part of the protocol.

template <typename Archive>
void visitFields(Archive &archive, Member &member)
{
    archive(member.host_, member.incarnation_);
}

template <typename Archive>
void visitFields(Archive &archive, Address &address)
{
    archive(address.ip_, address.port_);
}

template <typename Archive>
void visitFields(Archive &archive, MemberUpdate &update)
{
    archive(update.member_, update.address_, update.zone_, update.refutation_, update.liveness_,
            update.capacity_);
}

template <typename Archive>
void visitFields(Archive &archive, AreaSummary &summary)
{
    archive(summary.area_, summary.digest_, summary.age_);
}

template <typename Archive>
void visitFields(Archive &archive, ConfigSummary &summary)
{
    archive(summary.revision_, summary.digest_, summary.confirmedDigest_, summary.age_,
            summary.areas_);
}

template <typename Archive>
void visitFields(Archive &archive, ObjectRef &ref)
{
    archive(ref.kind_, ref.name_);
}

template <typename Archive>
void visitFields(Archive &archive, WriterPosition &position)
{
    archive(position.term_, position.sequence_);
}

template <typename Archive>
void visitFields(Archive &archive, StoredObject &object)
{
    archive(object.ref_, object.version_, object.deleted_, object.value_, object.position_);
}

template <typename Archive>
void visitFields(Archive &archive, AllowanceLeaseId &id)
{
    archive(id.epoch_, id.sequence_);
}

template <typename Archive>
void visitFields(Archive &archive, AllowanceRequest &request)
{
    archive(request.account_, request.lastLeaseId_, request.demand_, request.requestedTokens_,
            request.minUsefulTokens_, request.heldRate_, request.heldBurst_, request.heldValidity_,
            request.returnedTokens_);
}

template <typename Archive>
void visitFields(Archive &archive, AllowanceLease &lease)
{
    archive(lease.account_, lease.id_, lease.rate_, lease.burst_, lease.validity_, lease.tokens_,
            lease.retryAfter_);
}

template <typename Archive>
void visitFields(Archive &archive, Hello &message)
{
    archive(message.self_);
}

template <typename Archive>
void visitFields(Archive &archive, Probe &message)
{
    archive(message.origin_, message.target_, message.sequence_, message.updates_, message.config_);
}

template <typename Archive>
void visitFields(Archive &archive, ProbeAck &message)
{
    archive(message.origin_, message.responder_, message.sequence_, message.updates_,
            message.config_);
}

template <typename Archive>
void visitFields(Archive &archive, ConfigPull &message)
{
    archive(message.since_);
}

template <typename Archive>
void visitFields(Archive &archive, ConfigPush &message)
{
    archive(message.revision_, message.objects_, message.relayTo_);
}

template <typename Archive>
void visitFields(Archive &archive, PromiseRequest &message)
{
    archive(message.role_, message.epoch_, message.sentAt_);
}

template <typename Archive>
void visitFields(Archive &archive, PromiseReply &message)
{
    archive(message.role_, message.epoch_, message.sentAt_);
}

template <typename Archive>
void visitFields(Archive &archive, ReleaseRequest &message)
{
    archive(message.role_, message.epoch_);
}

template <typename Archive>
void visitFields(Archive &archive, ReleaseReply &message)
{
    archive(message.role_, message.epoch_, message.remaining_);
}

template <typename Archive>
void visitFields(Archive &archive, StepDown &message)
{
    archive(message.role_, message.epoch_);
}

template <typename Archive>
void visitFields(Archive &archive, AllowanceRequests &message)
{
    archive(message.requests_, message.sentAt_, message.role_, message.reportEpoch_);
}

template <typename Archive>
void visitFields(Archive &archive, AllowanceReplies &message)
{
    archive(message.leases_, message.sentAt_, message.role_, message.reportEpoch_);
}

template <typename Archive>
void visitFields(Archive &archive, AllowanceReclaim &message)
{
    archive(message.accounts_);
}

template <typename Archive>
void visitFields(Archive &archive, BackendColdState &message)
{
    archive(message.backend_, message.isCold_);
}

template <typename Archive>
void visitFields(Archive &archive, KeyRate &rate)
{
    archive(rate.key_, rate.rate_);
}

template <typename Archive>
void visitFields(Archive &archive, KeyLoad &message)
{
    archive(message.service_, message.total_, message.keys_);
}

template <typename Archive>
void visitFields(Archive &archive, ServerStamp &stamp)
{
    archive(stamp.incarnation_, stamp.at_);
}

template <typename Archive>
void visitFields(Archive &archive, Grant &grant)
{
    archive(grant.service_, grant.roleEpoch_, grant.sequence_, grant.stamp_, grant.lease_,
            grant.units_, grant.unitsDigest_);
}

template <typename Archive>
void visitFields(Archive &archive, GrantReply &reply)
{
    archive(reply.result_, reply.stamp_, reply.roleEpoch_, reply.sequence_, reply.unitsDigest_,
            reply.draining_);
}

template <typename Archive>
void visitFields(Archive &archive, RouterGrant &message)
{
    archive(message.grant_);
}

template <typename Archive>
void visitFields(Archive &archive, RouterGrantReply &message)
{
    archive(message.service_, message.reply_);
}

template <typename Archive>
void visitFields(Archive &archive, LeavingHostsPull &)
{
    archive();
}

template <typename Archive>
void visitFields(Archive &archive, LeavingHosts &message)
{
    archive(message.names_);
}

template <typename Archive>
void visitFields(Archive &archive, VersionOutcomes &outcomes)
{
    archive(outcomes.answered_, outcomes.failed_, outcomes.latency_);
}

template <typename Archive>
void visitFields(Archive &archive, RouteOutcomes &outcomes)
{
    archive(outcomes.route_, outcomes.current_, outcomes.target_);
}

template <typename Archive>
void visitFields(Archive &archive, ExposureUse &use)
{
    archive(use.incarnation_, use.epoch_, use.used_, use.requests_, use.sequence_,
            use.hasLeftCurrent_);
}

template <typename Archive>
void visitFields(Archive &archive, ExposureLease &lease)
{
    archive(lease.incarnation_, lease.epoch_, lease.sequence_, lease.limit_, lease.targetFor_,
            lease.currentFor_, lease.isCurrentAllowed_);
}

template <typename Archive>
void visitFields(Archive &archive, VersionOutcomeReport &message)
{
    archive(message.service_, message.target_, message.sentAt_, message.use_, message.routes_);
}

template <typename Archive>
void visitFields(Archive &archive, ExposureLeases &message)
{
    archive(message.service_, message.target_, message.sentAt_, message.lease_);
}

template <typename Archive>
void visitFields(Archive &archive, RoomDelta &delta)
{
    archive(delta.backend_, delta.running_, delta.waiting_, delta.pacePercent_, delta.isFull_,
            delta.ageMs_);
}

template <typename Archive>
void visitFields(Archive &archive, RoomReport &message)
{
    archive(message.deltas_);
}

/// Archive that appends fields to a JSON array.
class Writer
{
public:
    template <typename... T>
    void operator()(T &...values)
    {
        (array_.push_back(write(values)), ...);
    }

    Json takeArray() { return std::move(array_); }

private:
    template <typename T>
    static Json write(T &value)
    {
        if constexpr (IsName<T>::value) {
            return value.str();
        } else if constexpr (IsSequence<T>::value) {
            return value.value_;
        } else if constexpr (std::is_same_v<T, Duration>) {
            return value.count();
        } else if constexpr (std::is_enum_v<T>) {
            return static_cast<std::uint64_t>(value);
        } else if constexpr (IsOptional<T>::value) {
            return value ? write(*value) : Json();
        } else if constexpr (IsVector<T>::value || IsFixedArray<T>::value) {
            Json items = Json::array();
            for (auto &item : value)
                items.push_back(write(item));
            return items;
        } else if constexpr (IsMap<T>::value) {
            Json items = Json::array();
            for (auto &[key, item] : value) {
                auto name = key;
                items.push_back(Json::array({ write(name), write(item) }));
            }
            return items;
        } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
            return value;
        } else {
            Writer writer;
            visitFields(writer, value);
            return writer.takeArray();
        }
    }

    Json array_ = Json::array();
};

/// Archive that reads fields from a JSON array; fails on any unexpected type, value or size.
class Reader
{
public:
    explicit Reader(const Json &array)
        : array_(array)
        , ok_(array.is_array())
    { }

    template <typename... T>
    void operator()(T &...values)
    {
        ok_ = ok_ && array_.size() == sizeof...(values);
        std::size_t index = 0;
        ((ok_ = ok_ && read(array_[index++], values)), ...);
    }

    bool isOk() const { return ok_; }

private:
    template <typename T>
    static bool read(const Json &json, T &value)
    {
        if constexpr (IsName<T>::value) {
            if (!json.is_string())
                return false;
            value = T(json.get<std::string>());
            return true;
        } else if constexpr (IsSequence<T>::value) {
            return read(json, value.value_);
        } else if constexpr (std::is_same_v<T, Duration>) {
            if (!json.is_number_integer())
                return false;
            value = Duration(json.get<Duration::rep>());
            return true;
        } else if constexpr (std::is_enum_v<T>) {
            if (!json.is_number_unsigned() || json.get<std::uint64_t>() >= kEnumCount<T>)
                return false;
            value = static_cast<T>(json.get<std::uint64_t>());
            return true;
        } else if constexpr (IsOptional<T>::value) {
            if (json.is_null())
                return true;
            return read(json, value.emplace());
        } else if constexpr (IsVector<T>::value) {
            return readItems(json, value);
        } else if constexpr (IsFixedArray<T>::value) {
            return readFixedItems(json, value);
        } else if constexpr (IsMap<T>::value) {
            return readEntries(json, value);
        } else if constexpr (std::is_same_v<T, bool>) {
            value = json == true;
            return json.is_boolean();
        } else if constexpr (std::is_floating_point_v<T>) {
            if (!json.is_number())
                return false;
            value = json.get<T>();
            return true;
        } else if constexpr (std::is_integral_v<T>) {
            if (!json.is_number_unsigned() || !std::in_range<T>(json.get<std::uint64_t>()))
                return false;
            value = json.get<T>();
            return true;
        } else if constexpr (std::is_same_v<T, std::string>) {
            if (!json.is_string())
                return false;
            value = json.get<std::string>();
            return true;
        } else {
            Reader reader(json);
            visitFields(reader, value);
            return reader.isOk();
        }
    }

    template <typename T>
    static bool readItems(const Json &json, std::vector<T> &values)
    {
        if (!json.is_array() || json.size() > kMaxElements)
            return false;
        values.resize(json.size());
        for (std::size_t i = 0; i < values.size(); ++i) {
            if (!read(json[i], values[i]))
                return false;
        }
        return true;
    }

    template <typename T, std::size_t kSize>
    static bool readFixedItems(const Json &json, std::array<T, kSize> &values)
    {
        if (!json.is_array() || json.size() != kSize)
            return false;
        for (std::size_t i = 0; i < kSize; ++i) {
            if (!read(json[i], values[i]))
                return false;
        }
        return true;
    }

    template <typename Key, typename T>
    static bool readEntries(const Json &json, std::map<Key, T> &entries)
    {
        if (!json.is_array() || json.size() > kMaxElements)
            return false;
        for (const Json &item : json) {
            Key key;
            T value;
            const bool isEntry
                = item.is_array() && item.size() == 2 && read(item[0], key) && read(item[1], value);
            if (!isEntry)
                return false;
            entries.insert_or_assign(std::move(key), std::move(value));
        }
        return true;
    }

    const Json &array_;
    bool ok_;
};

template <std::size_t kIndex>
bool readMessage(const Json &json, SiblingMessage &message)
{
    Reader reader(json);
    visitFields(reader, message.emplace<kIndex>());
    return reader.isOk();
}

using ReadMessage = bool (*)(const Json &, SiblingMessage &);

template <std::size_t... kIndices>
constexpr auto makeReaders(std::index_sequence<kIndices...>)
{
    return std::array<ReadMessage, sizeof...(kIndices)> { &readMessage<kIndices>... };
}

// One reader for each alternative of SiblingMessage, in the same order.
constexpr auto kReaders
    = makeReaders(std::make_index_sequence<std::variant_size_v<SiblingMessage>>());

leaf::error_id malformed(const char *detail)
{
    return fail(
        Error { Step::DecodeFrame, Peer { PeerKind::Sibling, "" }, ErrorCode::Malformed, detail });
}

void writeLength(std::size_t length, std::uint8_t *bytes)
{
    for (std::size_t i = 0; i < kFrameLengthBytes; ++i) {
        const auto shift = static_cast<unsigned>(kFrameLengthBytes - 1 - i) * kBitsPerByte;
        bytes[i] = static_cast<std::uint8_t>((length >> shift) & kByteMask);
    }
}

std::vector<std::uint8_t> compressPayload(const std::vector<std::uint8_t> &payload)
{
    const std::vector<std::uint8_t> data = deflate(payload.data(), payload.size());
    std::vector<std::uint8_t> compressed(kCompressedHeaderBytes + data.size());
    compressed[0] = kCompressedMark;
    writeLength(payload.size(), compressed.data() + 1);
    std::copy(data.begin(), data.end(), compressed.begin() + kCompressedHeaderBytes);
    return compressed;
}

/// @param payload begins with kCompressedMark.
std::optional<std::vector<std::uint8_t>> decompressPayload(const std::vector<std::uint8_t> &payload,
                                                           const FrameLimits &limits)
{
    if (payload.size() < kCompressedHeaderBytes)
        return std::nullopt;
    const std::uint32_t size = frameLength(payload.data() + 1);
    if (size > limits.maxBytes_)
        return std::nullopt;
    return inflate(payload.data() + kCompressedHeaderBytes, payload.size() - kCompressedHeaderBytes,
                   size);
}

std::optional<Json> parsePayload(const std::vector<std::uint8_t> &payload,
                                 const FrameLimits &limits)
{
    if (payload.empty() || payload.front() != kCompressedMark)
        return parseMessagePack(payload, limits.maxValues_);
    const auto whole = decompressPayload(payload, limits);
    return whole ? parseMessagePack(*whole, limits.maxValues_) : std::nullopt;
}

} // namespace

// A catalogue of thousands of routes shrinks to a fraction, and many hosts relay it to several
// others over links of 10 Mbit/s.
std::vector<std::uint8_t> encodeFrame(const SiblingMessage &message)
{
    SiblingMessage copy = message;
    Json body = std::visit(
        [](auto &alternative) {
            Writer writer;
            visitFields(writer, alternative);
            return writer.takeArray();
        },
        copy);
    const Json envelope
        = Json::array({ kSiblingProtocolVersion, message.index(), std::move(body) });
    std::vector<std::uint8_t> payload = Json::to_msgpack(envelope);
    if (payload.size() >= kMinCompressedBytes)
        payload = compressPayload(payload);
    std::vector<std::uint8_t> frame(kFrameLengthBytes + payload.size());
    writeLength(payload.size(), frame.data());
    std::copy(payload.begin(), payload.end(), frame.begin() + kFrameLengthBytes);
    return frame;
}

std::uint32_t frameLength(const std::uint8_t *bytes)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < kFrameLengthBytes; ++i)
        length = (length << kBitsPerByte) | bytes[i];
    return length;
}

leaf::result<SiblingMessage> decodeFrame(const std::vector<std::uint8_t> &payload,
                                         const FrameLimits &limits)
{
    const Json envelope = parsePayload(payload, limits).value_or(Json());
    const bool isEnvelope = envelope.is_array() && envelope.size() == 3
                            && envelope[0].is_number_unsigned() && envelope[1].is_number_unsigned();
    if (!isEnvelope)
        return malformed("payload is not a message envelope");
    if (envelope[0].get<std::uint64_t>() != kSiblingProtocolVersion)
        return malformed("unsupported protocol version");
    const auto index = envelope[1].get<std::uint64_t>();
    if (index >= kReaders.size())
        return malformed("unknown message number");
    SiblingMessage message;
    if (!kReaders.at(index)(envelope[2], message))
        return malformed("unexpected fields for the message number");
    return message;
}

} // namespace pimentostage
