// The streams of a sidecar beside an engine: receives frames from the chain, has the engine apply them, and sends the results
// to the next stage.
#pragma once

#include "sidecar/engine_client.h"

namespace Parsleytrail
{

/// All streams for which this sidecar serves a stage.
class Stages
{
public:
    Stages(SidecarContext &context, EngineClient &engine);
    ~Stages();

    /// Handles a frame that belongs to a stream; false if it is malformed or of another kind.
    bool handleFrame(const LinkPtr &link, const Frame &frame);
    /// Called when a link from an entry or another sidecar closed. The streams opened over it are freed after orphan-timeout
    /// unless they are opened over another link before.
    void onPeerDisconnected(const LinkPtr &link);
    /// Called when a link to another sidecar closed. Reports the loss of the next stage for all streams that send over it.
    void onNextStageDisconnected(const std::string &address, const Error &error);
    /// Frees streams that have had no entry for orphan-timeout, and early frames older than 5 s. Called every 500 ms.
    void sweep();

    /// Number of open streams.
    std::size_t openCount() const;
    /// Bytes of activations kept for resending.
    std::size_t keptBytes() const;
    /// JSON array with one object per stream, for the state dump.
    std::string dump() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail
