import {type RankOrder, type RankReply, type Ranks} from '@papayaflow/experts';
import {type Instance} from '@papayaflow/instances';
import {
	openConnection, openSocket, protocolVersion, serveFrames, type Connection, type Frame,
} from '@papayaflow/peer';

const reconnectMs = 500;

/** The ranks beside one sidecar of a group. */
export type RankRange = {readonly group: string; readonly first: number; readonly count: number};

export type GroupDeps = {
	readonly instance: string;
	readonly incarnation: string;
	readonly zone: string;
	readonly range: RankRange;
	/** The ranks of the whole group. */
	readonly groupRanks: number;
	/** Gives an order to a rank beside this sidecar. */
	readonly orderLocal: (rank: number, order: RankOrder) => Promise<RankReply | undefined>;
	readonly orderTimeoutMs: () => number;
	readonly monotonicMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	readonly isStopped: () => boolean;
};

/** The ranks of a group as its coordinator reaches them. */
export type Group = Ranks & {
	/** Takes a new instance list: connects to the group's other sidecars. */
	update(instances: readonly Instance[]): void;
};

type Remote = {connection: Connection | undefined; range: RankRange | undefined; isGone: boolean};

/**
Makes the ranks of a group out of those beside this sidecar and those beside the
group's other sidecars, each reached over one connection.

@example
const ranks = createGroup(deps);
await ranks.order(63, {kind: 'promise', epoch: 4});
*/
export function createGroup(deps: GroupDeps): Group {
	const remotes = new Map<string, Remote>();
	const waiting = new Map<number, (reply: RankReply | undefined) => void>();
	let lastId = 0;

	const onFrame = (remote: Remote, frame: Frame): void => {
		if (frame.kind === 'hello') {
			remote.range = frame.ranks?.group === deps.range.group ? frame.ranks : undefined;
		} else if (frame.kind === 'orderReply') {
			waiting.get(frame.id)?.(frame.reply);
		}
	};

	const serve = async (remote: Remote, instance: Instance): Promise<void> => {
		while (!remote.isGone && !deps.isStopped()) {
			const socket = await openSocket(instance);
			if (socket) {
				remote.connection = openConnection(socket);
				remote.connection.send({
					kind: 'hello', version: protocolVersion, role: 'sidecar', instance: deps.instance, incarnation: deps.incarnation,
					zone: deps.zone, sentMs: deps.monotonicMs(),
				});
				await serveFrames(socket, frame => {
					onFrame(remote, frame);
				}, () => undefined);
				remote.connection = undefined;
				remote.range = undefined;
			}

			await deps.sleep(reconnectMs);
		}
	};

	const orderRemote = async (rank: number, order: RankOrder): Promise<RankReply | undefined> => {
		const remote = [...remotes.values()].find(({range}) => range && rank >= range.first && rank < range.first + range.count);
		if (!remote?.connection) {
			return undefined;
		}

		const id = ++lastId;
		return new Promise(resolve => {
			const end = (reply: RankReply | undefined): void => {
				clearTimeout(timer);
				waiting.delete(id);
				resolve(reply);
			};

			const timer = setTimeout(end, deps.orderTimeoutMs(), undefined);
			waiting.set(id, end);
			remote.connection?.send({
				kind: 'order', id, rank, order,
			});
		});
	};

	return {
		count: deps.groupRanks,
		async order(rank, order) {
			const {first, count} = deps.range;
			return rank >= first && rank < first + count ? deps.orderLocal(rank, order) : orderRemote(rank, order);
		},
		update(instances) {
			const others = instances.filter(({role, group, id}) => role === 'sidecar' && group === deps.range.group && id !== deps.instance);
			for (const [id, remote] of remotes) {
				if (!others.some(other => other.id === id)) {
					remote.isGone = true;
					remote.connection?.close();
					remotes.delete(id);
				}
			}

			for (const instance of others) {
				if (!remotes.has(instance.id)) {
					const remote: Remote = {connection: undefined, range: undefined, isGone: false};
					remotes.set(instance.id, remote);
					void serve(remote, instance);
				}
			}
		},
	};
}
