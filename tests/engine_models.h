// Engine models shared by the tests of placement and of chain selection.
#pragma once

#include "policy/routes.h"

namespace Parsleytrail
{

/// A model of 80 layers and four kinds of accelerators.
inline EngineModel largeModel()
{
    EngineModel model;
    model.layers = 80;
    model.layerMb = 1750;
    model.kvTokenBytes = 590000;
    model.stepMs = 0.85;
    model.stepMsPerSequence = 0.004;
    model.stepsPerPass = 2;
    model.kinds = {{"huge", 72000, 1.4, 1}, {"large", 36000, 3.1, 3.2}, {"middle", 21600, 16, 8.2}, {"small", 14400, 15, 15}};
    return model;
}

/// The same with small layers, so that any engine can hold any range.
inline EngineModel lightModel()
{
    EngineModel model = largeModel();
    model.layerMb = 100;
    return model;
}

/// The large model with the size of typical requests, so that stream capacities can be computed.
inline EngineModel modelWithRequestProfile()
{
    EngineModel model = largeModel();
    model.kvTokenBytes = 328000;
    model.meanPromptTokens = 770;
    model.meanAnswerTokens = 153;
    model.batchSlots = 192;
    return model;
}

} // namespace Parsleytrail
