// The streams of a sidecar beside an engine: takes frames from the chain, has the engine apply them, passes results on.
#pragma once

#include "sidecar/engine_client.h"

namespace Parsleytrail
{

/// All streams that cross this sidecar.
class Stages
{
public:
    Stages(SidecarContext &context, EngineClient &engine);
    ~Stages();

    /// Takes a frame that belongs to streams; false if it is malformed.
    bool handleFrame(const LinkPtr &link, const Frame &frame);
    /// A link from an entry or another sidecar is gone: its streams are freed unless the entry takes them over soon.
    void onPeerDisconnected(const LinkPtr &link);
    /// A link that this sidecar made is gone: streams that send over it have lost their next stage.
    void onNextStageDisconnected(const std::string &address, const Error &error);
    /// Frees streams without an entry, and old frames that no stream wanted. Called now and then.
    void sweep();

    std::size_t openCount() const;
    /// Bytes of kept activations.
    std::size_t keptBytes() const;
    /// One JSON object for each stream, for the state dump.
    std::string dump() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
