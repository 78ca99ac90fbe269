// Stand-in for a model engine that holds a range of layers.
//
// HTTP interface (JSON):
//   POST /engine/v1/step    {"items":[{"stream","position","reset","model","version","adapter","prompt"?,"tokens"?,
//                           "activations"?,"promptLength"?,"priority"}]}
//                        -> {"items":[{"stream","promptLength","positions","activations"?,"tokens"?:[[id,text,end]],"error"?}]}
//   POST /engine/v1/cancel  {"streams":[...]}; drops these streams
//   POST /engine/v1/orders  {"fencing","action":"load"|"unload"|"role",...}
//                           409 for an old fencing number if checksFencing is set
//   GET  /engine/v1/kv?stream=S, PUT /engine/v1/kv   exports and imports the state of a stream
//   GET  /engine/v1/events?since=N                    prefix cache events after N; only the latest are kept, so a slow
//                                                     reader sees gaps
//   GET  /engine/v1/status                            load, up to reportLag old
//   POST /engine/v1/faults  {"crash-on"?, "hang"?, "slow"?: factor, "die"?}; see the fault functions of Engine
#pragma once

#include "base/address.h"
#include "stand-ins/token_function.h"
#include "wire/event_loop.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Parsleytrail::StandIn
{

/// Identity, layers and simulated costs of an engine.
struct EngineOptions {
    std::string id = "engine";           ///< id of the engine in step records
    Weights weights;                     ///< model and version loaded; the adapter is chosen by each item
    std::vector<std::string> adapters;   ///< adapters loaded
    std::uint32_t layerBegin = 0;        ///< first layer held
    std::uint32_t layerEnd = 1;          ///< one past the last
    std::uint32_t modelLayers = 1;       ///< layers of the model; an engine whose range ends here returns tokens
    microseconds fixedStepTime{500};     ///< base time of a step, independent of its items
    double microsPerPositionLayer = 0.5; ///< microseconds per position and layer
    std::uint32_t maxBatch = 256;        ///< items after which no further request joins a step
    std::uint32_t kvCapacity = 1 << 20;  ///< KV cache size: positions of all streams together
    std::uint32_t prefixCapacity = 64;   ///< prompts in the prefix cache, and cache events kept
    milliseconds reportLag{200};         ///< a load report is reused until it is this old
    bool checksFencing = true;           ///< refuses orders with an old fencing number
};

/// One item of a step as the engine ran it; lets tests check that each layer ran once for each position.
struct StepRecord {
    std::string engine;           ///< id of the engine
    std::string stream;           ///< id of the stream
    std::uint32_t layerBegin = 0; ///< first layer applied
    std::uint32_t layerEnd = 0;   ///< one past the last
    std::uint32_t position = 0;   ///< first position applied
    std::uint32_t positions = 0;  ///< number of positions
};

/// An engine on the caller's event loop; one process may run several.
class Engine
{
public:
    Engine(EventLoop &loop, EngineOptions options);
    ~Engine();

    /// Listens on the address; port 0 picks a free one. Returns the bound address.
    Result<Address> listen(const Address &address);
    /// Steps run while recording was on.
    const std::vector<StepRecord> &records() const;
    void recordSteps(bool isOn);
    /// Positions applied so far; a position counts once, however many layers the engine holds.
    std::uint64_t positionsApplied() const;
    std::size_t openStreams() const;
    bool isDead() const;

    // Fault injection, as by POST /engine/v1/faults
    void crashOn(std::string text);        ///< the engine dies in the first step with a prompt that contains this text
    void setHanging(bool isHanging);       ///< accepts steps but does not respond until the flag is cleared
    void setSlowdownFactor(double factor); ///< multiplies the duration of steps
    void die();                            ///< closes the port and drops all streams and all queued and running steps

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail::StandIn
