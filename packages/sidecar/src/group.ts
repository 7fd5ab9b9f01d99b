import {type RankOrder, type RankReply, type Ranks} from '@papayaflow/experts';
import {type Instance} from '@papayaflow/instances';
import {
	openConnection, openSocket, protocolVersion, serveFrames, type Connection, type Frame,
} from '@papayaflow/peer';
import {type Containment} from '@papayaflow/telemetry';

const reconnectDelayMs = 500;

/** The consecutive ranks beside one sidecar of a group: those to which the sidecar sends orders directly, not through another sidecar. */
export type RankRange = {readonly group: string; readonly first: number; readonly count: number};

export type GroupDeps = {
	readonly containment: Containment;
	readonly instance: string;
	readonly incarnation: string;
	readonly zone: string;
	readonly range: RankRange;
	/** The number of ranks of the whole group. */
	readonly groupRanks: number;
	/** Sends an order to a rank beside this sidecar. */
	readonly orderLocal: (rank: number, order: RankOrder) => Promise<RankReply | undefined>;
	readonly orderTimeoutMs: () => number;
	readonly monotonicMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	readonly isStopped: () => boolean;
};

/** Sends the orders of a group's coordinator to all ranks of the group. */
export type GroupRanks = Ranks & {
	/** Applies a new instance list: connects to the group's other sidecars and closes the connections to removed ones. */
	update(instances: readonly Instance[]): void;
};

type RemoteSidecar = {connection: Connection | undefined; range: RankRange | undefined; isRemoved: boolean};

/**
Creates the client that sends orders to all ranks of a group: directly to those beside
this sidecar, and to the others over one connection to each of the group's other
sidecars. An order to a rank whose sidecar is not connected, or does not reply in time,
resolves to `undefined`.

@example
const ranks = createGroupRanks(deps);
await ranks.order(63, {kind: 'promise', epoch: 4});
*/
export function createGroupRanks(deps: GroupDeps): GroupRanks {
	const remotes = new Map<string, RemoteSidecar>();
	const pendingOrders = new Map<number, (reply: RankReply | undefined) => void>();
	let lastOrderId = 0;

	const onFrame = (remote: RemoteSidecar, frame: Frame): void => {
		if (frame.kind === 'hello') {
			remote.range = frame.ranks?.group === deps.range.group ? frame.ranks : undefined;
		} else if (frame.kind === 'orderReply') {
			pendingOrders.get(frame.id)?.(frame.reply);
		}
	};

	const maintainConnection = async (remote: RemoteSidecar, instance: Instance): Promise<void> => {
		while (!remote.isRemoved && !deps.isStopped()) {
			const socket = await openSocket(instance);
			if (socket) {
				remote.connection = openConnection(socket);
				remote.connection.send({
					kind: 'hello', version: protocolVersion, role: 'sidecar', instance: deps.instance, incarnation: deps.incarnation,
					zone: deps.zone, sentMs: deps.monotonicMs(),
				});
				await serveFrames(socket, frame => {
					onFrame(remote, frame);
				}, () => undefined, error => {
					deps.containment.report('frame', error);
				});
				remote.connection = undefined;
				remote.range = undefined;
			}

			await deps.sleep(reconnectDelayMs);
		}
	};

	const orderRemote = async (rank: number, order: RankOrder): Promise<RankReply | undefined> => {
		const remote = [...remotes.values()].find(({range}) => range && rank >= range.first && rank < range.first + range.count);
		if (!remote?.connection) {
			return undefined;
		}

		const id = ++lastOrderId;
		return new Promise(resolve => {
			const settle = (reply: RankReply | undefined): void => {
				clearTimeout(timer);
				pendingOrders.delete(id);
				resolve(reply);
			};

			const timer = setTimeout(settle, deps.orderTimeoutMs(), undefined);
			pendingOrders.set(id, settle);
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
			const peers = instances.filter(({role, group, id}) => role === 'sidecar' && group === deps.range.group && id !== deps.instance);
			for (const [id, remote] of remotes) {
				if (!peers.some(other => other.id === id)) {
					remote.isRemoved = true;
					remote.connection?.close();
					remotes.delete(id);
				}
			}

			for (const instance of peers) {
				if (!remotes.has(instance.id)) {
					const remote: RemoteSidecar = {connection: undefined, range: undefined, isRemoved: false};
					remotes.set(instance.id, remote);
					void maintainConnection(remote, instance);
				}
			}
		},
	};
}
