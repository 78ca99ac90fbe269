// libFuzzer: the decoders of all messages that a link or a datagram may carry.
#include "generated/messages.h"

#include <cstddef>

using namespace Parsleytrail;

template<typename Message>
static void tryDecode(std::string_view bytes, std::uint16_t version)
{
    Message message;
    if (!decode(bytes, version, message)) {
        return;
    }
    // What was decoded can be written and read again.
    std::string again;
    if (!encode(message, version, again)) {
        __builtin_trap(); // a writer refuses what its reader takes
    }
    Message back;
    if (!decode(again, version, back)) {
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
        tryDecode<Hello>(bytes, version);
        break;
    case 1:
        tryDecode<OpenStage>(bytes, version);
        break;
    case 2:
        tryDecode<ActivationFrame>(bytes, version);
        break;
    case 3:
        tryDecode<TokenFrame>(bytes, version);
        break;
    case 4:
        tryDecode<StageFailed>(bytes, version);
        break;
    case 5:
        tryDecode<CallRequest>(bytes, version);
        break;
    case 6:
        tryDecode<CallBody>(bytes, version);
        break;
    case 7:
        tryDecode<CallHead>(bytes, version);
        break;
    case 8:
        tryDecode<ConfigurationUpdate>(bytes, version);
        break;
    case 9:
        tryDecode<Announcement>(bytes, version);
        break;
    case 10:
        tryDecode<EntryAnnouncement>(bytes, version);
        break;
    case 11:
        tryDecode<SuspicionNotice>(bytes, version);
        break;
    case 12:
        tryDecode<LoadReport>(bytes, version);
        break;
    case 13:
        tryDecode<EntryReport>(bytes, version);
        break;
    case 14:
        tryDecode<TableCopy>(bytes, version);
        break;
    case 15:
        tryDecode<GroupDigest>(bytes, version);
        break;
    case 16:
        tryDecode<GroupSummary>(bytes, version);
        break;
    case 17:
        tryDecode<TableWanted>(bytes, version);
        break;
    default:
        tryDecode<StageReport>(bytes, version);
        break;
    }
    return 0;
}
