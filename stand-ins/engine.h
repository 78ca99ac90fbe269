// Stand-in for a model engine that holds a range of layers.
//
// HTTP interface (JSON):
//   POST /engine/v1/step    {"items":[{"stream","position","reset","model","version","adapter","prompt"?,"tokens"?,
//                           "activations"?,"promptLength"?,"priority"}]}
//                        -> {"items":[{"stream","promptLength","positions","activations"?,"tokens"?:[[id,text,end]],"error"?}]}
//   POST /engine/v1/cancel  {"streams":[...]}
//   POST /engine/v1/orders  {"fencing","action":"load"|"unload"|"role",...}; 409 for an old fencing number, if it checks them
//   GET  /engine/v1/kv?stream=S, PUT /engine/v1/kv   export and import of a stream's state
//   GET  /engine/v1/events?since=N                    prefix cache events, late and with gaps
//   GET  /engine/v1/status                            load, as of a while ago
//   POST /engine/v1/faults  {"crash-on"?, "hang"?, "slow"?, "die"?}
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

/// What an engine is and costs.
struct EngineOptions {
    std::string id = "engine";           ///< name in records
    Weights weights;                     ///< model and version loaded; the adapter is chosen by each item
    std::vector<std::string> adapters;   ///< adapters loaded
    std::uint32_t layerBegin = 0;        ///< first layer held
    std::uint32_t layerEnd = 1;          ///< one past the last
    std::uint32_t modelLayers = 1;       ///< layers of the model; a range that ends here gives tokens
    microseconds fixedStepTime{500};     ///< time of a step whatever is in it
    double microsPerPositionLayer = 0.5; ///< time of one position in one layer
    std::uint32_t maxBatch = 256;        ///< items in a step
    std::uint32_t kvCapacity = 1 << 20;  ///< positions of all streams together
    std::uint32_t prefixCapacity = 64;   ///< prompts remembered
    milliseconds reportLag{200};         ///< age of the load reported
    bool checksFencing = true;           ///< refuses orders with an old fencing number
};

/// One step as the engine ran it, for checking that each layer ran once for each position.
struct StepRecord {
    std::string engine;           ///< engine
    std::string stream;           ///< stream
    std::uint32_t layerBegin = 0; ///< layers applied
    std::uint32_t layerEnd = 0;
    std::uint32_t position = 0;  ///< first position
    std::uint32_t positions = 0; ///< count
};

/// An engine on the loop of its process; one process may hold many.
class Engine
{
public:
    Engine(EventLoop &loop, EngineOptions options);
    ~Engine();

    Result<Address> listen(const Address &address);
    /// Steps run so far, if recording was asked for.
    const std::vector<StepRecord> &records() const;
    void recordSteps(bool isOn);
    /// Positions applied so far, all layers of the range counted once.
    std::uint64_t positionsApplied() const;
    std::size_t openStreams() const;
    bool isDead() const;

    // Faults by call, as POST /engine/v1/faults sets them
    void crashOn(std::string text);        ///< dies in the first step that holds a prompt with this text
    void setHanging(bool isHanging);       ///< takes steps and never answers
    void setSlowdownFactor(double factor); ///< steps take this many times as long
    void die();                            ///< closes its port and forgets everything

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Parsleytrail::StandIn
