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
		/** Tokens routed to each expert since the engine started, summed over the ranks. */
		counts: z.array(z.number()),
		/** The expert in each slot, by rank. */
		slots: z.array(z.array(z.number())),
	})),
	version: z.number(),
	step: z.number(),
	/** The longest recent step time of a rank divided by the mean over the ranks. */
	skew: z.number(),
});

/** The reply of a rank to an order. */
export type EngineRankReply = z.infer<typeof rankReplySchema>;

/** The engine's report on its experts. It lags behind the engine's state. */
export type ExpertReport = z.infer<typeof expertReportSchema>;

/**
Sends an order to one rank of the engine. Returns `undefined` when no valid reply
arrives in time; the rank may have executed the order nevertheless.

@example
const reply = await sendRankOrder(target, 0, {kind: 'promise', epoch: 3});
*/
export async function sendRankOrder(target: Target, rank: number, order: unknown): Promise<EngineRankReply | undefined> {
	const parsed = rankReplySchema.safeParse(await target.ask('POST', `/ranks/${rank}/orders`, order));
	return parsed.success ? parsed.data : undefined;
}

/** Fetches the expert loads from the engine. Returns `undefined` when the engine gives no valid report. */
export async function fetchExpertReport(target: Target): Promise<ExpertReport | undefined> {
	const parsed = expertReportSchema.safeParse(await target.ask('GET', '/experts'));
	return parsed.success ? parsed.data : undefined;
}
