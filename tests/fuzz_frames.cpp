// libFuzzer target for the decoders of messages on links and in datagrams. The first byte selects the message type, the
// second the wire version.
#include "generated/messages.h"

#include <cstddef>

using namespace Parsleytrail;

template<typename Message>
static void checkRoundTrip(std::string_view bytes, std::uint16_t version)
{
    Message message;
    if (!decode(bytes, version, message)) {
        return;
    }
    // A decoded message must be encodable, and its encoding decodable.
    std::string reencoded;
    if (!encode(message, version, reencoded)) {
        __builtin_trap(); // the encoder refuses a message that the decoder accepts
    }
    Message decodedAgain;
    if (!decode(reencoded, version, decodedAgain)) {
        __builtin_trap();
    }
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size < 2) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 2, size - 2);
    const std::uint16_t version = 1 + data[1] % 2;
    switch (data[0] % 20) {
    case 0:
        checkRoundTrip<Hello>(bytes, version);
        break;
    case 1:
        checkRoundTrip<OpenStage>(bytes, version);
        break;
    case 2:
        checkRoundTrip<ActivationFrame>(bytes, version);
        break;
    case 3:
        checkRoundTrip<TokenFrame>(bytes, version);
        break;
    case 4:
        checkRoundTrip<StageFailed>(bytes, version);
        break;
    case 5:
        checkRoundTrip<CallRequest>(bytes, version);
        break;
    case 6:
        checkRoundTrip<CallBody>(bytes, version);
        break;
    case 7:
        checkRoundTrip<CallHead>(bytes, version);
        break;
    case 8:
        checkRoundTrip<ConfigurationUpdate>(bytes, version);
        break;
    case 9:
        checkRoundTrip<Announcement>(bytes, version);
        break;
    case 10:
        checkRoundTrip<EntryAnnouncement>(bytes, version);
        break;
    case 11:
        checkRoundTrip<SuspicionNotice>(bytes, version);
        break;
    case 12:
        checkRoundTrip<LoadReport>(bytes, version);
        break;
    case 13:
        checkRoundTrip<EntryReport>(bytes, version);
        break;
    case 14:
        checkRoundTrip<TableCopy>(bytes, version);
        break;
    case 15:
        checkRoundTrip<GroupDigest>(bytes, version);
        break;
    case 16:
        checkRoundTrip<GroupSummary>(bytes, version);
        break;
    case 17:
        checkRoundTrip<TableWanted>(bytes, version);
        break;
    default:
        checkRoundTrip<StageReport>(bytes, version);
        break;
    }
    return 0;
}
