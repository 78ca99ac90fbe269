#include "relay/stream_demand.h"

#include "base/text.h"

#include <algorithm>

namespace Parsleytrail
{

StreamDemand readStreamDemand(const HttpHead &head, const HeaderNames &names, const EngineModel &model)
{
    StreamDemand demand;
    demand.promptTokens = model.meanPromptTokens;
    demand.answerTokens = model.meanAnswerTokens;
    const std::vector<std::string> counts = splitList(head.find(names.tokenCounts), ',');
    double maxAnswerTokens = 0;
    if (counts.size() != 2 || !parseNumber(counts[0], demand.promptTokens) || !parseNumber(counts[1], maxAnswerTokens)) {
        return demand;
    }
    double estimate = 0;
    // The caller's estimate is right in the median but often far off, so it is averaged with the usual length.
    if (parseNumber(head.find(names.answerEstimate), estimate)) {
        demand.answerTokens = (estimate + model.meanAnswerTokens) / 2;
    }
    demand.answerTokens = std::min(demand.answerTokens, maxAnswerTokens);
    return demand;
}

} // namespace Parsleytrail
