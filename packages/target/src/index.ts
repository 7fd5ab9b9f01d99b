export {
	connectTarget, endToEndHeaders, type AnswerSink, type Target, type TargetOptions, type TargetOutcome, type TargetRequest,
} from './target.js';
export {
	fetchExpertReport, sendRankOrder, type EngineRankReply, type ExpertReport,
} from './engine.js';
