import * as z from 'zod';
import {type Target} from './target.js';

const scheduledSchema = z.object({version: z.number(), step: z.number()});

const rankReplySchema = z.object({
	accepted: z.boolean(),
	state: z.object({
		promised: z.number(),
		committed: z.number(),
		prepared: z.number(),
		held: scheduledSchema.optional(),
		next: scheduledSchema.optional(),
		aborted: z.number(),
		step: z.number(),
	}),
});

const expertReportSchema = z.object({
	layers: z.array(z.object({
		/** Tokens by expert since the engine started, summed over the ranks. */
		counts: z.array(z.number()),
		/** The expert in each slot of each rank. */
		slots: z.array(z.array(z.number())),
	})),
	version: z.number(),
	step: z.number(),
	/** The greatest over the mean of the ranks' recent step times. */
	skew: z.number(),
});

/** What a rank answers to an order. */
export type EngineRankReply = z.infer<typeof rankReplySchema>;

/** What an engine tells of its experts, with a lag. */
export type ExpertReport = z.infer<typeof expertReportSchema>;

/**
Gives an order to one rank of the engine. `undefined` when no sound reply came in
time, which says nothing of whether the rank obeyed.

@example
const reply = await orderRank(target, 0, {kind: 'promise', epoch: 3});
*/
export async function orderRank(target: Target, rank: number, order: unknown): Promise<EngineRankReply | undefined> {
	const parsed = rankReplySchema.safeParse(await target.ask('POST', `/ranks/${rank}/orders`, order));
	return parsed.success ? parsed.data : undefined;
}

/** Asks the engine for its experts' loads; `undefined` when it gives no sound report. */
export async function askExperts(target: Target): Promise<ExpertReport | undefined> {
	const parsed = expertReportSchema.safeParse(await target.ask('GET', '/experts'));
	return parsed.success ? parsed.data : undefined;
}
