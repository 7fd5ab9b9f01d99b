/**
The guards that enforce a guarantee. Each entry has the source text of the guard
(`find`), the text that removes it (`replace`), and the test that must then fail.
*/
export const guards = [
	{
		name: 'the state of a key is checked again in the event-loop turn that stores its claim', file: 'idempotency/src/claim.ts',
		find: 'if (knownState && knownState.kind !== \'withdrawn\') {\n\t\t\treturn resultOfKnownKey(knownState, fingerprint);\n\t\t}\n\n\t\tlet markEnded', replace: 'let markEnded',
		spec: 'idempotency/test/claim.test.ts', test: 'in the same event-loop turn',
	},
	{
		name: 'a call is dispatched only after its claim is in the log', file: 'idempotency/src/claim.ts',
		find: 'const appended = await shard.append({', replace: 'const appended = {kind: \'recorded\'}; void shard.append({',
		spec: 'idempotency/test/claim.test.ts', test: 'paused while another owner acquired its shard',
	},
	{
		name: 'a new owner seals the earlier epochs', file: 'idempotency/src/acquire.ts',
		find: 'if (!await sealEpoch(options, epoch))', replace: 'if (epoch < 0)',
		spec: 'idempotency/test/claim.test.ts', test: 'paused while another owner acquired its shard',
	},
	{
		name: 'a new owner seals every epoch since the last one known to be sealed', file: 'idempotency/src/acquire.ts',
		find: 'for (let epoch = ownership.sealedThrough + 1; epoch', replace: 'for (let epoch = ownership.epoch - 1; epoch > 0 && epoch',
		spec: 'idempotency/test/seal.test.ts', test: 'seals every epoch',
	},
	{
		name: 'a conflicting segment counts as confirmed only if this writer wrote it', file: 'idempotency/src/shard.ts',
		find: 'existing?.kind === \'records\' && existing.writer === writer ?', replace: 'existing ?',
		spec: 'idempotency/test/claim.test.ts', test: 'paused while another owner acquired its shard',
	},
	{
		name: 'a shard is not open once the lease has expired', file: 'idempotency/src/shard.ts',
		find: 'isOpen: () => !isSealed && lease.isValid() && isSameLease(),', replace: 'isOpen: () => !isSealed,',
		spec: 'idempotency/test/claim.test.ts', test: 'reports unknown once its own lease may have expired',
	},
	{
		name: 'a renewed lease keeps the TTL that it was granted with', file: 'idempotency/src/lease.ts',
		find: 'requestedAtMs + grantedTtlMs', replace: 'requestedAtMs + ttlMs()',
		spec: 'idempotency/test/claim.test.ts', test: 'considers a renewed lease expired no later',
	},
	{
		name: 'the key state of another owner is not overwritten', file: 'idempotency/src/claim.ts',
		find: 'if (owned?.keys.get(key) === running) {', replace: 'if (owned) {',
		spec: 'idempotency/test/seal.test.ts', test: 'keeps the key state that another owner',
	},
	{
		name: 'an owner that follows another owner carries over no key states', file: 'idempotency/src/claim.ts',
		find: 'if (!previous || next.epoch !== previous.epoch + 1) {', replace: 'if (!previous) {',
		spec: 'idempotency/test/seal.test.ts', test: 'keeps the key state that another owner',
	},
	{
		name: 'a seal is never deleted', file: 'idempotency/src/acquire.ts',
		find: 'segment.kind === \'records\' && segment.records.every(', replace: '(segment.kind === \'seal\' ? [] : segment.records).every(',
		spec: 'idempotency/test/seal.test.ts', test: 'deletes expired segments',
	},
	{
		name: 'a lower revision is never applied', file: 'config/src/follower.ts',
		find: 'if (next.revision <= head.revision) {', replace: 'if (next.revision < 0) {',
		spec: 'config/test/head.test.ts', test: 'never applies a lower revision',
	},
	{
		name: 'a change is pulled from one peer at a time', file: 'config/src/follower.ts',
		find: 'if (nowMs < pullDeadlineMs) {', replace: 'if (nowMs < 0) {',
		spec: 'config/test/head.test.ts', test: 'pulls a change once',
	},
	{
		name: 'a change that took effect is not applied again', file: 'config/src/change.ts',
		find: 'if (current.head.recent.some(change => change.id === author.changeId)) {', replace: 'if (current.storeRevision < 0) {',
		spec: 'config/test/head.test.ts', test: 'applies a change only once',
	},
	{
		name: 'an edit takes effect only on the body that it was made from', file: 'config/src/change.ts',
		find: 'if (current === editedFrom) {', replace: 'if (current !== \'\') {',
		spec: 'config/test/head.test.ts', test: 'accepts only one of two edits',
	},
	{
		name: 'a switch takes effect only if no other switch came after the revision that it was decided on', file: 'config/src/change.ts',
		find: 'if (wasSwitched || isHistoryTruncated) {', replace: 'if (isHistoryTruncated) {',
		spec: 'config/test/head.test.ts', test: 'rejects a switch that was decided before another switch',
	},
	{
		name: 'a chunk must match its hash', file: 'config/src/follower.ts',
		find: 'if (!matchesHash(hash, bytes)) {', replace: 'if (hash === \'\') {',
		spec: 'config/test/head.test.ts', test: 'rejects a chunk',
	},
	{
		name: 'a map is committed only when every rank holds it', file: 'experts/src/coordinator.ts',
		find: 'if (!holdReplies.every(reply => reply?.accepted)) {', replace: 'if (!holdReplies.some(reply => reply?.accepted)) {',
		spec: 'experts/test/coordinator.test.ts', test: 'aborts the switch when one rank does not reply',
	},
	{
		name: 'a map that any rank has committed is committed on every rank', file: 'experts/src/coordinator.ts',
		find: 'pendingVersion <= committedVersion ? {kind: \'commit\'', replace: 'pendingVersion < 0 ? {kind: \'commit\'',
		spec: 'experts/test/coordinator.test.ts', test: 'commits the map on every rank when a new coordinator takes over',
	},
	{
		name: 'the gate drops the orders of old coordinators', file: 'experts/src/gate.ts',
		find: 'order.epoch < highestEpoch', replace: 'order.epoch < 0',
		spec: 'experts/test/coordinator.test.ts', test: 'late commit of an old coordinator',
	},
	{
		name: 'all bodies together have a limit', file: 'caller/src/body-buffers.ts',
		find: 'while (!isReleased && total + bytes > maxTotalBytes) {', replace: 'while (false) {',
		spec: 'caller/test/body-buffers.test.ts', test: 'free again when a call has ended',
	},
	{
		name: 'a slow body gives way to others', file: 'caller/src/body-buffers.ts',
		find: 'slowest?.arrival.evict();\n\t\treturn slowest !== undefined;', replace: 'return false;',
		spec: 'caller/test/body-buffers.test.ts', test: 'the slowest one that has been arriving for a second gives way',
	},
	{
		name: 'a body that is no longer read takes no memory', file: 'caller/src/body.ts',
		find: 'parts.clear();\n\t\tsettle', replace: 'settle',
		spec: 'caller/test/body.test.ts', test: 'takes no memory once it is cancelled',
	},
	{
		name: 'buffers that were in use for some time are freed', file: 'inbound/src/buffer-collector.ts',
		find: 'arrayBuffers - lowestBytes > maxGrowthBytes', replace: 'arrayBuffers < 0',
		spec: 'inbound/test/buffer-collector.test.ts', test: 'in use for some time',
	},
	{
		name: 'buffers of answers that were in use for some time are freed', file: 'direct/src/exchange.ts',
		find: 'onBuffersAllocated(copiesOfBytes * (bytesNow - bytesCounted));', replace: '',
		spec: 'direct/test/exchange.test.ts', test: 'used for some time',
	},
	{
		name: 'an answer that was given up takes no memory', file: 'direct/src/answer-receiver.ts',
		find: 'chunks.length = 0;', replace: '',
		spec: 'direct/test/answer-receiver.test.ts', test: 'on a route of kind idempotent',
	},
	{
		name: 'a request does not keep a body that was read', file: 'caller/src/body.ts',
		find: '.off(\'end\', onEnd)', replace: '',
		spec: 'caller/test/body.test.ts', test: 'is not kept by its request',
	},
	{
		name: 'an idle connection to a target keeps no body', file: 'direct/src/exchange.ts',
		find: 'connection.onReadable(ignore);', replace: 'connection.onReadable(() => undefined);',
		spec: 'direct/test/exchange.test.ts', test: 'keeps no body with a connection that is idle',
	},
	{
		name: 'bodies at an entry with presets count', file: 'caller/src/call.ts',
		find: 'readBody(req, maxBytes, held.add)', replace: 'readBody(req, maxBytes)',
		spec: 'caller/test/caller.test.ts', test: 'refuses a request whose body there is no room for',
	},
	{
		name: 'the next request of a connection waits for the answer to this one', file: 'inbound/src/paced-reader.ts',
		find: 'if (state === \'answering\') {', replace: 'if (ahead.length < 0) {',
		spec: 'inbound/test/supervise.test.ts', test: 'handles one request of a connection at a time',
	},
	{
		name: 'what a paused socket has read counts', file: 'inbound/src/paced-reader.ts',
		find: 'ahead.length + socket.readableLength', replace: 'ahead.length',
		spec: 'inbound/test/supervise.test.ts', test: 'what its sockets have read while they were paused',
	},
	{
		name: 'a connection that holds little ahead does not give way', file: 'inbound/src/connection-table.ts',
		find: 'let mostBytes = share;', replace: 'let mostBytes = 0;',
		spec: 'inbound/test/supervise.test.ts', test: 'closes the connections that have sent the most ahead',
	},
	{
		name: 'the heads of running requests have a limit', file: 'inbound/src/supervise.ts',
		find: 'while (headBytes() > maxHeadBytes) {', replace: 'while (headBytes() < 0) {',
		spec: 'inbound/test/supervise.test.ts', test: 'refuses a large head that there is no room for',
	},
	{
		name: 'an answer is unread from when it was written', file: 'inbound/src/paced-reader.ts',
		find: 'res.once(\'prefinish\', onState);', replace: '',
		spec: 'inbound/test/supervise.test.ts', test: 'only when it has been unread for a second',
	},
	{
		name: 'a request whose body is dropped ends at once', file: 'inbound/src/paced-reader.ts',
		find: 'if (dropsBody) {', replace: 'if (dropsBody && socket.destroyed) {',
		spec: 'inbound/test/supervise.test.ts', test: 'ends a request at once when its body is dropped',
	},
	{
		name: 'the fields after a body are dropped', file: 'inbound/src/paced-reader.ts',
		find: 'latest.req.rawTrailers = [];\n\t\t\tlatest.req.trailers = {};', replace: '',
		spec: 'inbound/test/supervise.test.ts', test: 'drops the fields after a body',
	},
	{
		name: 'a new connection replaces one that is not served', file: 'inbound/src/supervise.ts',
		find: 'if (connections.size >= maxConnections && !closeOne', replace: 'if (connections.size < 0 && !closeOne',
		spec: 'inbound/test/supervise.test.ts', test: 'closes the connection that has been silent for the longest',
	},
	{
		name: 'the rest of a refused body is bounded', file: 'inbound/src/paced-reader.ts',
		find: 'if (state === \'dropped\' && droppedBytes > (maxDroppedBytes() ?? defaultDroppedBytes)) {', replace: 'if (droppedBytes > Number.POSITIVE_INFINITY) {',
		spec: 'inbound/test/supervise.test.ts', test: 'reads no more than a part of its body',
	},
	{
		name: 'an oversized frame is rejected by its header', file: 'peer/src/frame.ts',
		find: 'if (length > maxBytes) {', replace: 'if (length < 0) {',
		spec: 'peer/test/frame.test.ts', test: 'at the header of an oversized frame',
	},
	{
		name: 'a peer that reads nothing is disconnected', file: 'peer/src/connection.ts',
		find: 'if (socket.writableLength > maxBacklogBytes) {', replace: 'if (socket.writableLength < 0) {',
		spec: 'peer/test/frame.test.ts', test: 'when its peer reads nothing',
	},
	{
		name: 'an attempt that was not sent does not count as refused by the owner', file: 'entry/src/link.ts',
		find: 'reason: \'connectionLost\', retryAfterMs: linkRetryAfterMs, detail: \'given up',
		replace: 'reason: \'withdrawn\', retryAfterMs: linkRetryAfterMs, detail: \'given up',
		spec: 'entry/test/forward.test.ts', test: 'times out while waiting for an owner',
	},
	{
		name: 'a hello frame of another version is rejected', file: 'peer/src/frame.ts',
		find: 'value.version !== protocolVersion', replace: 'value.version === 0',
		spec: 'peer/test/frame.test.ts', test: 'at a hello frame of another version',
	},
	{
		name: 'a frame that belongs to no attempt is dropped', file: 'entry/src/link.ts',
		find: 'const attempt = attempts.get(frame.attempt);', replace: 'const attempt = attempts.get(frame.attempt) ?? [...attempts.values()][0];',
		spec: 'entry/test/forward.test.ts', test: 'drops and counts frames that belong to no attempt',
	},
	{
		name: 'an answer with missing bytes is not complete', file: 'entry/src/link.ts',
		find: 'attempt.received === frame.length', replace: 'attempt.received <= frame.length',
		spec: 'entry/test/forward.test.ts', test: 'reports an answer with missing bytes as lost',
	},
	{
		name: 'a refusal after a loss leaves the outcome unknown', file: 'entry/src/forward.ts',
		find: 'if (hasLoss) {', replace: 'if (retryAfterMs < 0) {',
		spec: 'entry/test/forward.test.ts', test: 'after an attempt that may have run',
	},
	{
		name: 'only the owner of a key reports its call as not run', file: 'entry/src/forward.ts',
		find: 'if (isKeyed(call) && !ownerRefusalReasons.has(lastFailure.reason)) {', replace: 'if (ownerRefusalReasons.size === 0) {',
		spec: 'entry/test/forward.test.ts', test: 'only if the owner of its key refused it',
	},
	{
		name: 'a call that is not idempotent is not retried after a loss', file: 'entry/src/forward.ts',
		find: ': call.idempotent && (result.reason', replace: ': (result.reason',
		spec: 'entry/test/forward.test.ts', test: 'that is not idempotent only after a refusal',
	},
	{
		name: 'a call is not retried once its answer has begun', file: 'entry/src/forward.ts',
		find: 'if (signal.aborted || answer.begun) {', replace: 'if (signal.aborted) {',
		spec: 'entry/test/forward.test.ts', test: 'unless its answer has begun',
	},
	{
		name: 'an ejected target is tried with one call at a time', file: 'policy/src/eject.ts',
		find: '|| (target.health.isTrial && target.ownTokens > 0)', replace: '',
		spec: 'policy/test/policy.test.ts', test: 'with one call at a time',
	},
	{
		name: 'a leaving target takes no new work', file: 'sidecar/src/admission.ts',
		find: 'if (isClosed) {', replace: 'if (running < 0) {',
		spec: 'sidecar/test/admission.test.ts', test: 'once the target is leaving',
	},
	{
		name: 'a failed event stream never looks complete', file: 'caller/src/answer.ts',
		find: 'res.write(`event: error\\ndata: ${JSON.stringify(problem)}\\n\\n`, () => {\n\t\t\t\t\tres.destroy();\n\t\t\t\t});', replace: String.raw`res.end('data: [DONE]\n\n');`,
		spec: 'caller/test/caller.test.ts', test: 'ends a failed event stream with an error event',
	},
	{
		name: 'a map is used only when every rank is armed for it', file: 'experts/src/pass-switch.ts',
		find: 'return armed.every(Boolean);', replace: 'return armed.some(Boolean);',
		spec: 'experts/test/pass-switch.test.ts', test: 'aborts the switch on every rank when one rank is not armed',
	},
	{
		name: 'the abort of a switch prepares a higher version on every rank', file: 'experts/src/pass-switch.ts',
		find: 'return view.armed === undefined && ((view.prepared ?? 0) > newestVersion || view.mapVersion >= newestVersion);', replace: 'return view.armed === undefined;',
		spec: 'experts/test/pass-switch.test.ts', test: 'aborts the switch on every rank when one rank is not armed',
	},
	{
		name: 'a group in which nothing runs places a request', file: 'policy/src/group-admission.ts',
		find: 'if (running.size === 0) {', replace: 'if (running.size < 0) {',
		spec: 'policy/test/group.test.ts', test: 'places a request in a group in which nothing runs or waits',
	},
	{
		name: 'a long hold is no measurement of passes', file: 'group/src/pass-meter.ts',
		find: 'if (stalledMs > windowMs || !view.isOpen) {', replace: 'if (!view.isOpen) {',
		spec: 'group/test/pass-meter.test.ts', test: 'does not take a second in which the group is held for slow passes',
	},
	{
		name: 'the slowdown of an idle group goes back to 1', file: 'group/src/pass-meter.ts',
		find: 'slowdown = 1 + ((slowdown - 1) * Math.exp(-sinceSampleMs / idleDecayMs));', replace: '',
		spec: 'group/test/pass-meter.test.ts', test: 'goes back to 1 within seconds while nothing runs',
	},
	{
		name: 'all coordinations of a process describe maps by one last map of a connection', file: 'group/src/remote-ranks.ts',
		find: 'const {nextId, maps} = options.channel;', replace: 'const {nextId} = options.channel; const maps = createMapSender();',
		spec: 'group/test/remote-ranks.test.ts', test: 'describes the maps of two coordinations at once',
	},
	{
		name: 'the commands of all coordinations of a process have different ids', file: 'group/src/remote-ranks.ts',
		find: 'const {nextId, maps} = options.channel;', replace: 'let ownId = 0; const nextId = () => ++ownId; const {maps} = options.channel;',
		spec: 'group/test/remote-ranks.test.ts', test: 'takes no reply to a command of one coordination for that of another',
	},
	{
		name: 'a sidecar that has not understood a map gets the whole one', file: 'group/src/remote-ranks.ts',
		find: 'maps.forget(peer);', replace: '',
		spec: 'group/test/remote-ranks.test.ts', test: 'sends the whole map to a sidecar that has not understood',
	},
	{
		name: 'a rank prepares no map that its coordinator does not have', file: 'group/src/map-transfer.ts',
		find: 'if (!map || (update.digest !== undefined && update.digest !== digestOf(map))) {', replace: 'if (!map) {',
		spec: 'group/test/map-transfer.test.ts', test: 'yields no map that the sender does not have',
	},
	{
		name: 'a sidecar that has fallen silent is passed over', file: 'group/src/remote-ranks.ts',
		find: 'passedOverUntilMs.set(peer, options.nowMs() + passOverMs);', replace: '',
		spec: 'group/test/remote-ranks.test.ts', test: 'sends the next command over another connection',
	},
	{
		name: 'a sidecar that is only busy is not passed over', file: 'group/src/remote-ranks.ts',
		find: 'if (isSilent) {', replace: 'if (sentMs >= 0) {',
		spec: 'group/test/remote-ranks.test.ts', test: 'goes on to ask a sidecar that sends other frames',
	},
	{
		name: 'each rank is disarmed from the version that it reports', file: 'experts/src/pass-switch.ts',
		find: '{kind: \'disarm\', version: armed}', replace: '{kind: \'disarm\', version: newestVersion}',
		spec: 'experts/test/pass-switch.test.ts', test: 'ends every mix of states in which the ranks can be left',
	},
	{
		name: 'ranks that are armed while nobody holds the group are held before they are disarmed', file: 'experts/src/pass-switch.ts',
		find: 'return isHeldInTime ? \'abort\' : \'hold\';', replace: 'return \'abort\';',
		spec: 'experts/test/pass-switch.test.ts', test: 'holds the group before it disarms ranks that nobody holds',
	},
	{
		name: 'a switch whose group is idle is aborted after a time', file: 'experts/src/pass-switch.ts',
		find: 'if (isUnanimous && !isAborting && (isHeld || !isIdle)) {', replace: 'if (isUnanimous && !isAborting) {',
		spec: 'experts/test/pass-switch.test.ts', test: 'aborts a switch whose group is idle',
	},
	{
		name: 'the version of an abort is raised until a rank that copies a map accepts it', file: 'experts/src/pass-switch.ts',
		find: 'sealDistance *= command.kind === \'prepare\' && result === \'refused\' && armed === undefined && !isAccepted ? 2 : 1;', replace: 'sealDistance *= 1;',
		spec: 'experts/test/pass-switch.test.ts', test: 'aborts a switch while a rank copies a map of a later version',
	},
	{
		name: 'a coordinator that takes over fences every rank before it reads their states', file: 'experts/src/pass-switch.ts',
		find: 'const fenceResult = await fenceAllRanks(options);', replace: 'const fenceResult = \'done\' as PhaseResult;',
		spec: 'experts/test/pass-switch.test.ts', test: 'reads the state of a rank only after every rank',
	},
	{
		name: 'a target whose registration lapses comes back as the object that its calls hold', file: 'direct/src/targets.ts',
		find: 'returned(record) ?? createTarget(', replace: 'createTarget(',
		spec: 'direct/test/targets.test.ts', test: 'holds for its lifetime, learned while it is not registered: that its calls fail',
	},
	{
		name: 'the lifetimes that leave are read at each choice', file: 'direct/src/targets.ts',
		find: 'const hasSaidLeaving = (): boolean => leaving.has(lifetime);', replace: 'const isLeavingNow = leaving.has(lifetime); const hasSaidLeaving = (): boolean => isLeavingNow;',
		spec: 'direct/test/targets.test.ts', test: 'holds for its lifetime, learned when it is registered again: that it leaves',
	},
	{
		name: 'a refusal of a request that was sent before the target registered again says nothing of it', file: 'direct/src/targets.ts',
		find: 'if (!isGone && sentMs >= registeredMs) {', replace: 'if (!isGone) {',
		spec: 'direct/test/targets.test.ts', test: 'ends when it registers again, learned when it is registered again: that another target is at its address',
	},
	{
		name: 'a response counts only if it echoes the id of the request', file: 'direct/src/exchange.ts',
		find: 'head.requestId !== undefined && head.requestId !== request.requestId', replace: 'request.requestId === \'\'',
		spec: '../platform/test/direct/calls.test.ts', test: 'response is truncated, malformed, unsealed',
	},
	{
		name: 'a successful response counts only with the seal of its target', file: 'direct/src/exchange.ts',
		find: '(status < 300 && !head.isSealed)', replace: 'request.requestId === \'\'',
		spec: '../platform/test/direct/calls.test.ts', test: 'response is truncated, malformed, unsealed',
	},
	{
		name: 'a broken connection does not count as the end of a response', file: 'direct/src/exchange.ts',
		find: 'const isTruncated = connection.remoteState === \'failed\' || (connection.remoteState === \'ended\' && hasFraming);', replace: 'const isTruncated = false;',
		spec: '../platform/test/direct/calls.test.ts', test: 'without a length only if',
	},
	{
		name: 'a non-idempotent call that may have run is not sent again', file: 'direct/src/forward.ts',
		find: '(result.kind === \'notRun\' || isRetryable(call))', replace: 'true',
		spec: '../platform/test/direct/calls.test.ts', test: 'non-idempotent call once if the response is lost',
	},
	{
		name: 'retries stay within the resend budget', file: 'direct/src/forward.ts',
		find: '!deps.resendBudget.tryTake(call.service)', replace: 'call.service === \'\'',
		spec: '../platform/test/direct/calls.test.ts', test: 'when the resend budget is spent',
	},
	{
		name: 'a non-idempotent call is sent on a new connection', file: 'direct/src/forward.ts',
		find: 'isRetryable(call) && !isSentAgain ? retryableMaxIdleMs : 0', replace: 'retryableMaxIdleMs',
		spec: '../platform/test/direct/calls.test.ts', test: 'non-idempotent call on a new connection',
	},
	{
		name: 'an event that the caller already has is not sent to it again', file: 'direct/src/answer-receiver.ts',
		find: 'event.id !== undefined && event.id <= progress.lastEventId', replace: 'event.id === -1',
		spec: '../platform/test/direct/streams.test.ts', test: 'breaks within an event at another target',
	},
	{
		name: 'a stream that ends within an event counts as truncated', file: 'direct/src/answer-receiver.ts',
		find: 'if (splitter.partialBytes > 0) {', replace: 'if (head.status === 0) {',
		spec: '../platform/test/direct/streams.test.ts', test: 'complete response that ends within an event',
	},
	{
		name: 'an older entry does not replace a newer one', file: 'mirror/src/mirror.ts',
		find: 'held && held.revision >= change.entry.revision', replace: 'held && held.revision < 0',
		spec: 'mirror/test/mirror.test.ts', test: 'keeps the newer entry of a key',
	},
	{
		name: 'keys that expired during an outage are kept for the grace period', file: 'mirror/src/follow.ts',
		find: 'mirror.replace(result, () => isWithinGrace);', replace: 'mirror.replace(result);',
		spec: 'mirror/test/mirror.test.ts', test: 'keeps keys that expired during an outage',
	},
	{
		name: 'a stream that its entry no longer lists is removed', file: 'group/src/sidecar.ts',
		find: 'removeStreams(instance, known);', replace: '',
		spec: 'group/test/sidecar.test.ts', test: 'places a request on a rank',
	},
	{
		name: 'the next rank takes over after the takeover delay', file: 'group/src/sidecar.ts',
		find: '!hasLowerCandidate && now - lowerCandidateSeenMs >= takeoverDelayMs * view.rank', replace: 'now < 0',
		spec: 'group/test/sidecar.test.ts', test: 'takes over soon after the lowest rank is gone',
	},
	{
		name: 'the caller\'s key is not forwarded', file: '../platform/src/headers.ts',
		find: '\'x-key\', \'x-tenant\',', replace: '\'x-tenant\',',
		spec: '../platform/test/decode.test.ts', test: 'never forwards the caller\'s key',
	},
	{
		name: 'a request is placed only if the next pass stays within the allowed pause', file: 'policy/src/group-admission.ts',
		find: 'passMsWith(request, rank) + reservedMs <= maxPassMs(options.model()!, plan().lateness, request)', replace: 'request.gapMs >= 0',
		spec: 'policy/test/group.test.ts', test: 'places a request only if the next pass',
	},
	{
		name: 'room is kept for more urgent requests that are expected', file: 'policy/src/group-admission.ts',
		find: 'return reserveRatio * (expected + (reserveDeviations * Math.sqrt(expected)));', replace: 'return 0;',
		spec: 'policy/test/group.test.ts', test: 'keeps room for urgent requests',
	},
	{
		name: 'an urgent first attempt waits for the end of a pass while less urgent requests arrive', file: 'policy/src/group-admission.ts',
		find: 'Math.max(maxPlacementWaitMs(request), urgentWaitMs(request))', replace: 'maxPlacementWaitMs(request)',
		spec: 'policy/test/group.test.ts', test: 'lets an urgent first attempt wait',
	},
	{
		name: 'a priority that gets far less than the others comes first', file: 'policy/src/group-admission.ts',
		find: '|| Number(b.isStarved) - Number(a.isStarved)', replace: '',
		spec: 'policy/test/group.test.ts', test: 'places some requests of each priority',
	},
	{
		name: 'late returned requests are refused at once when too many are waiting', file: 'policy/src/group-admission.ts',
		find: 'isLate(waitingRequest) && isLateQueueFull()', replace: 'isLateQueueFull() && request.objectiveMs < 0',
		spec: 'policy/test/group.test.ts', test: 'refuses late returned requests at once',
	},
	{
		name: 'a late request that fits on no rank does not hold up the others', file: 'policy/src/group-admission.ts',
		find: '&& !isUnplaceable(waitingRequest);', replace: ';',
		spec: 'policy/test/group.test.ts', test: 'although an older one does not fit',
	},
	{
		name: 'callers refused during an outage return over the whole time that they accept', file: 'policy/src/group-admission.ts',
		find: 'rule === \'waitEnded\' ? plan().perSecond : 0', replace: '1e9',
		spec: 'policy/test/group.test.ts', test: 'spreads the return of callers',
	},
	{
		name: 'requests that can meet their objective are placed before late ones', file: 'policy/src/group-admission.ts',
		find: '|| Number(b.slack >= 0) - Number(a.slack >= 0)', replace: '',
		spec: 'policy/test/group.test.ts', test: 'places a request that can meet its objective before a late one',
	},
	{
		name: 'a closing sidecar gets no more attempts', file: 'entry/src/link.ts',
		find: 'isClosing = frame.isClosing === true;', replace: '',
		spec: 'entry/test/forward.test.ts', test: 'refuses attempts once the sidecar is closing',
	},
	{
		name: 'a sidecar that has released its lease is not asked again as an owner', file: 'entry/src/forward.ts',
		find: 'triedIds.add(id);', replace: '',
		spec: 'entry/test/forward.test.ts', test: 'waits while a keyed call is redirected',
	},
	{
		name: 'the time limit of a watch survives a garbage collection', file: '../platform/src/store.ts',
		find: 'withTimeLimit(signal, waitMs + Math.min(timeoutMs, maxWatchDelayMs), async bounded => call(\'GET\', path, {signal: bounded}))',
		replace: 'call(\'GET\', path, {signal: AbortSignal.any([signal, AbortSignal.timeout(waitMs + Math.min(timeoutMs, maxWatchDelayMs))])})',
		spec: '../platform/test/store.test.ts', test: 'ends a wait for changes',
	},
	{
		name: 'a refusal by a sidecar that has released its lease does not count as an attempt', file: 'entry/src/forward.ts',
		find: 'return signal.aborted ? \'giveUp\' : \'askOther\';', replace: 'return \'giveUp\';',
		spec: 'entry/test/forward.test.ts', test: 'when its last attempt reached a sidecar that has released',
	},
	{
		name: 'no request is placed on a rank whose sidecar fell silent', file: 'group/src/sidecar.ts',
		find: ' && !membership.isSilent(view.group, rank)', replace: '',
		spec: 'group/test/sidecar.test.ts', test: 'places no request on a rank whose sidecar fell silent',
	},
	{
		name: 'a call placed without the coordinator avoids silent machines', file: 'direct/src/group-place.ts',
		find: 'const candidates = responsive.length > 0 ? responsive : remaining;', replace: 'const candidates = remaining;',
		spec: 'direct/test/group-place.test.ts', test: 'beside the silent coordinator',
	},
	{
		name: 'a retry is recognised by what coordinators have refused', file: 'direct/src/group-place.ts',
		find: 'for (const [identity, waitedMs] of load.refused ?? []) {', replace: 'for (const [identity, waitedMs] of []) {',
		spec: 'direct/test/group-place.test.ts', test: 'recognises a call that the coordinator refused to another entry',
	},
	{
		name: 'an entry waits for its coordinator as long as that may keep a returned request', file: 'direct/src/group-place.ts',
		find: 'Math.max(placementRequest.objectiveMs * minReplyTimeoutRatio, maxPlacementWaitMs(placementRequest))', replace: '(placementRequest.objectiveMs * minReplyTimeoutRatio)',
		spec: 'direct/test/group-place.test.ts', test: 'waits for the decision on a returned call',
	},
	{
		name: 'the pause after a plan follows from the work of the plan', file: 'group/src/expert-balancer.ts',
		find: 'deps.nowMs() + (workMs * planRestRatio)', replace: 'deps.nowMs() + (planMs * planRestRatio)',
		spec: 'group/test/expert-balancer.test.ts', test: 'has a better map in force a second after a shift',
	},
	{
		name: 'a sidecar replies to a preparation once its rank has copied', file: 'group/src/sidecar.ts',
		find: 'view: await pollWhileCopying(reply.view)', replace: 'view: reply.view',
		spec: 'group/test/sidecar.test.ts', test: 'replies to the preparation of a map once',
	},
	{
		name: 'a report of a long prompt weighs about as much as any other', file: 'policy/src/demand.ts',
		find: 'const weight = total / (total + Math.exp(estimate.logTotal));', replace: 'const weight = total;',
		spec: 'policy/test/demand.test.ts', test: 'gives a report of a long prompt',
	},
	{
		name: 'a target that accepts no connection gets no calls', file: 'direct/src/targets.ts',
		find: ' && isServing && isReachable && mayReach', replace: ' && isServing && mayReach',
		spec: 'direct/test/targets.test.ts', test: 'takes no requests until it accepts one',
	},
	{
		name: 'a stalled group refuses new requests at once', file: 'policy/src/group-admission.ts',
		find: 'if (options.isStalled() && !request.isResumed) {', replace: 'if (request.objectiveMs < 0) {',
		spec: 'policy/test/group.test.ts', test: 'refuses new requests while the group is stalled',
	},
	{
		name: 'a process has at most one pull in flight', file: 'cli/src/pull.ts',
		find: 'if (asked) {\n\t\t\treturn;\n\t\t}\n\n\t\tif (isStore', replace: 'if (isStore',
		spec: 'cli/test/pull.test.ts', test: 'spreads the copies of one change',
	},
	{
		name: 'each process prefers another peer', file: 'cli/src/pull.ts',
		find: 'const ordered = rendezvousOrder(instance, [...byInstance.keys()])', replace: 'const ordered = [...byInstance.keys()]',
		spec: 'cli/test/pull.test.ts', test: 'spreads the copies of one change',
	},
	{
		name: 'a process that the store serves waits for the store', file: 'cli/src/pull.ts',
		find: 'isStoreAvailable() && now', replace: 'announced.size === 0 && now',
		spec: 'cli/test/directory.test.ts', test: 'pulls nothing from its peers',
	},
	{
		name: 'a copy omits what heartbeats rewrote', file: 'mirror/src/copy.ts',
		find: 'mirror.changedSince(afterRevision)', replace: 'mirror.entries().filter(({revision}) => revision > afterRevision)',
		spec: 'mirror/test/mirror.test.ts', test: 'omits entries that were only rewritten',
	},
	{
		name: 'only readers of the store announce their revision periodically', file: 'cli/src/directory.ts',
		find: 'if (isReader() && monotonicMs()', replace: 'if ((isReader() || deps.prefersPeers) && monotonicMs()',
		spec: 'cli/test/directory.test.ts', test: 'reads the store while all its peers',
	},
	{
		name: 'the connection of a cancelled request is reset', file: 'direct/src/exchange.ts',
		find: '} else if (signal.aborted) {\n\t\t\t\tpool.reset(connection);\n\t\t\t} else {', replace: '} else {',
		spec: 'direct/test/exchange.test.ts', test: 'discards the bytes of a cancelled request',
	},
	{
		name: 'a dispenser\'s bucket starts empty', file: 'limit/src/dispenser.ts',
		find: 'perSecond: rate, capacity, tokens: 0, monotonicMs,', replace: 'perSecond: rate, capacity, tokens: 1, monotonicMs,',
		spec: 'limit/test/dispenser.test.ts', test: 'starts empty, so that a restart',
	},
	{
		name: 'a chosen dispenser waits until its predecessor has stopped granting', file: 'limit/src/dispenser.ts',
		find: 'monotonicMs() + handOverMs', replace: 'monotonicMs()',
		spec: 'limit/test/dispenser.test.ts', test: 'grants nothing for 2.5 s',
	},
	{
		name: 'a dispenser grants only for what it owns', file: 'limit/src/lifetimes.ts',
		find: 'return `${id}/${incarnation}`;', replace: 'return id;',
		spec: 'limit/test/dispenser.test.ts', test: 'denies what it does not own',
	},
	{
		name: 'a higher limit counts only from an entry that knew the limit in force', file: 'limit/src/dispenser.ts',
		find: 'limit !== undefined && basis === limit.version && perSecond', replace: 'limit !== undefined && perSecond',
		spec: 'limit/test/dispenser.test.ts', test: 'takes a lower limit from any entry',
	},
	{
		name: 'the share of a disconnected entry is kept back', file: 'limit/src/dispenser.ts',
		find: 'sendRate(perSecond) * usedRatio', replace: 'sendRate(perSecond)',
		spec: 'limit/test/dispenser.test.ts', test: 'keeps back the share',
	},
	{
		name: 'a permission ends', file: 'limit/src/permits.ts',
		find: 'monotonicMs() - startMs < permitMs && ', replace: '',
		spec: 'limit/test/permits.test.ts', test: 'end after 250 ms',
	},
	{
		name: 'a permission ends while its process is suspended', file: 'limit/src/permits.ts',
		find: ' && Math.abs(wallMs() - startWallMs) < permitMs', replace: '',
		spec: 'limit/test/permits.test.ts', test: 'end after 250 ms',
	},
	{
		name: 'a share waits until its dispenser must have noticed the lost connection', file: 'limit/src/permits.ts',
		find: 'sinceMs + shareDelayMs - monotonicMs()', replace: 'sinceMs - monotonicMs()',
		spec: 'limit/test/permits.test.ts', test: 'come from an equal share',
	},
	{
		name: 'an unused turn of a share is lost', file: 'limit/src/share.ts',
		find: 'if (now >= nextMs + turnMs) {', replace: 'if (now < 0) {',
		spec: 'limit/test/permits.test.ts', test: 'are not saved up',
	},
	{
		name: 'a permission is checked when the connection is open', file: 'direct/src/exchange.ts',
		find: 'if (!mayStart()) {', replace: 'if (isEnded) {',
		spec: 'direct/test/exchange.test.ts', test: 'sends nothing if the permission has ended',
	},
	{
		name: 'a target at its limit is left out of the choice', file: 'direct/src/limit-place.ts',
		find: ', ...restrictedTargets(restrictions), ...denied', replace: ', ...restrictions.pauses.blocked()',
		spec: 'direct/test/limit-place.test.ts', test: 'chooses another target after a denial',
	},
	{
		name: 'the reset of a cancelled request is an error to the HTTP client', file: 'direct/src/pool.ts',
		find: 'socket?.emit(\'error\', new Error(\'connection reset after a cancelled request\'));', replace: '',
		spec: 'direct/test/exchange.test.ts', test: 'cancels an answer without a length',
	},
	{
		name: 'an answer of an earlier era of the store is ignored', file: '../platform/src/store.ts',
		find: 'if (answeredEra < era) {', replace: 'if (era < 0) {',
		spec: '../platform/test/store.test.ts', test: 'ignores an answer of an earlier era',
	},
	{
		name: 'a watch from an earlier era misses changes', file: '../platform/src/store.ts',
		find: 'status === 410 || answeredEra !== eraOf(afterRevision)', replace: 'status === 410',
		spec: '../platform/test/store.test.ts', test: 'as compacted, also at revisions that were given out again',
	},
	{
		name: 'a condition of an earlier era confirms nothing', file: '../platform/src/store.ts',
		find: 'if (!areConditionsOf(answeredEra)) {', replace: 'if (era < 0) {',
		spec: '../platform/test/store.test.ts', test: 'does not confirm a write',
	},
	{
		name: 'revisions of a later era are higher', file: '../platform/src/era.ts',
		find: 'return (era * revisionsPerEra) + revision;', replace: 'return revision + (0 * era * revisionsPerEra);',
		spec: 'cli/test/directory.test.ts', test: 'puts in force what the store acknowledges then',
	},
	{
		name: 'fencing tokens of a later era are higher', file: 'experts/src/epoch.ts',
		find: 'Math.max(last, era * epochsPerEra)', replace: 'Math.max(last, 0 * epochsPerEra)',
		spec: '../platform/test/store.test.ts', test: 'never gives a fencing token out twice',
	},
	{
		name: 'no entry goes back to an earlier state when the era rises', file: 'mirror/src/mirror.ts',
		find: 'if (held && isEarlierState(change.entry, held)) {', replace: 'if (held && isEarlierState(change.entry, change.entry)) {',
		spec: 'cli/test/directory.test.ts', test: 'never goes back to an earlier configuration',
	},
	{
		name: 'a restored store lists no target that had left before', file: 'mirror/src/mirror.ts',
		find: 'if (removed && isRemovedState(change.entry, removed)) {', replace: 'if (removed && isRemovedState(removed, removed)) {',
		spec: 'cli/test/directory.test.ts', test: 'lists a target that had left again only',
	},
	{
		name: 'keys that a restored store has lost are kept for the grace period', file: 'mirror/src/follow.ts',
		find: 'if (mayHaveExpired() || era > eraBefore) {', replace: 'if (mayHaveExpired()) {',
		spec: 'cli/test/directory.test.ts', test: 'keeps a target that the store has lost',
	},
	{
		name: 'requests with a suspected part are refused', file: 'quarantine/src/quarantine.ts',
		find: 'if (waitMs > 0 || suspicions.all().some(other => isTrialUnderWay(other))) {', replace: 'if (waitMs > Number.MAX_VALUE) {',
		spec: 'quarantine/test/quarantine.test.ts', test: 'keeps the part that crashed a target from all instances',
	},
	{
		name: 'one trial at a time over all instances', file: 'quarantine/src/quarantine.ts',
		find: 'if (waitMs > 0 || suspicions.all().some(other => isTrialUnderWay(other))) {', replace: 'if (waitMs > 0) {',
		spec: 'quarantine/test/quarantine.test.ts', test: 'one request at a time over all instances',
	},
	{
		name: 'parts with begun answers are not suspected', file: 'quarantine/src/quarantine.ts',
		find: 'return begun === undefined || now - begun > begunValidMs;', replace: 'return begun === undefined || now >= begun;',
		spec: 'quarantine/test/quarantine.test.ts', test: 'suspects no part with which an answer was begun',
	},
	{
		name: 'a trial explains the crash of its target', file: 'quarantine/src/quarantine.ts',
		find: 'const suspected = trials.length > 0 ? trials : candidates;', replace: 'const suspected = candidates;',
		spec: 'quarantine/test/quarantine.test.ts', test: 'suspects no other part of a crash once a trial',
	},
	{
		name: 'the higher round of a suspicion wins', file: 'quarantine/src/suspicion.ts',
		find: 'return a.round > b.round ? a : b;', replace: 'return a.crashes.length > b.crashes.length ? a : b;',
		spec: 'quarantine/test/quarantine.test.ts', test: 'lets a clearing win',
	},
	{
		name: 'a lost connection is no crash while the target takes the next one', file: 'direct/src/connection-trial.ts',
		find: 'return \'accepted\';', replace: 'return \'refused\';',
		spec: '../platform/test/direct/crashes.test.ts', test: 'has not crashed if it takes the next connection',
	},
	{
		name: 'a target that says in an answer that it leaves takes no more requests', file: 'direct/src/targets.ts',
		find: ' && !isGone && !hasSaidLeaving() && !isEvacuated', replace: ' && !isGone && !isEvacuated',
		spec: 'direct/test/targets.test.ts', test: 'a target that says that it leaves',
	},
	{
		name: 'a target that has said that it leaves is remembered when its registration lapses', file: 'direct/src/targets.ts',
		find: 'leaving.set(lifetime, true);', replace: '',
		spec: 'direct/test/targets.test.ts', test: 'when its registration lapses',
	},
	{
		name: 'a target that has named a later time is left out of the choice', file: 'direct/src/limit-place.ts',
		find: ', ...pauses.blocked()]', replace: ']',
		spec: 'direct/test/limit-place.test.ts', test: 'before the time that it has named',
	},
	{
		name: 'a request is not sent when its target names a later time while the connection opens', file: 'direct/src/limit-place.ts',
		find: 'pauses.waitMs(record) === 0 && permit.use()', replace: 'permit.use()',
		spec: 'direct/test/limit-place.test.ts', test: 'while its connection opens',
	},
	{
		name: 'what a target said in an earlier lifetime excludes no later one', file: 'direct/src/limit-place.ts',
		find: '.filter(({id, incarnation}) => targets.byId(id)?.record.incarnation === incarnation)', replace: '',
		spec: 'direct/test/limit-place.test.ts', test: 'uses a target that has started again, whatever it said before',
	},
	{
		name: 'a later refusal does not shorten a pause', file: 'limit/src/pause.ts',
		find: 'if (ms <= beforeMs) {', replace: 'if (ms === 0) {',
		spec: 'limit/test/pause.test.ts', test: 'not shortened',
	},
	{
		name: 'a call is not placed when its caller has closed the connection before the request was read', file: 'direct/src/front.ts',
		find: 'if (await hasLeft(req)) {', replace: 'if (req.socket.destroyed) {',
		spec: '../platform/test/direct/calls.test.ts', test: 'before the request was read',
	},
	{
		name: 'a plan lets other work of the process run', file: 'group/src/planning.ts',
		find: 'if (sliceWorkMs >= sliceMs) {', replace: 'if (sliceWorkMs < 0) {',
		spec: 'group/test/planning.test.ts', test: 'lets other work run',
	},
	{
		name: 'an exception in a request does not reach the process', file: 'direct/src/front.ts',
		find: 'deps.containment.report(\'request\', error);', replace: 'throw error;',
		spec: '../platform/test/direct/unforeseen.test.ts', test: 'ends one request with status 500',
	},
	{
		name: 'a registration names an address that can be connected to', file: '../platform/src/registration.ts',
		find: '|| !isConnectable(address)', replace: '',
		spec: '../platform/test/foreign-entries.test.ts', test: 'a port, an address or an id',
	},
	{
		name: 'a registration of an unknown service hides no target', file: 'direct/src/targets.ts',
		find: '!isGone && options.isKnownService(record.service)', replace: '!isGone',
		spec: 'direct/test/targets.test.ts', test: 'a service that no configuration names',
	},
	{
		name: 'a connection is not closed while a request on it is open', file: 'caller/src/connections.ts',
		find: 'state.openAnswers.size === 0 && now', replace: 'now',
		spec: 'caller/test/connections.test.ts', test: 'stay open until the request',
	},
	{
		name: 'a connection is not closed while a part of a request has arrived', file: 'caller/src/connections.ts',
		find: 'hasPartialRequest ? partialRequestMs : quietMs', replace: 'hasPartialRequest ? quietMs : quietMs',
		spec: 'caller/test/connections.test.ts', test: 'stay open until the request',
	},
	{
		name: 'a stopping entry refuses what may still run at its end', file: 'direct/src/front.ts',
		find: 'now + deadlineMs <= plan.endsAtMs', replace: 'now < Number.POSITIVE_INFINITY',
		spec: '../platform/test/direct/stopping.test.ts', test: 'takes a request whose deadline',
	},
	{
		name: 'a short silence of the store lets no key expire', file: 'mirror/src/follow.ts',
		find: 'nowMs() - lastAnsweredMs >= options.expiryMs', replace: 'nowMs() >= 0',
		spec: 'mirror/test/mirror.test.ts', test: 'removes a key at once that',
	},
	{
		name: 'a silent connection leaves no other open connection in use', file: '../platform/src/store.ts',
		find: 'if (usedDispatcher === dispatcher) {', replace: 'if (usedDispatcher !== dispatcher) {',
		spec: '../platform/test/silent-connections.test.ts', test: 'opens new connections',
	},
	{
		name: 'events that are not whole yet count against the limit of all answers', file: 'direct/src/answer-receiver.ts',
		find: 'held.set(splitter.partialBytes) && splitter', replace: 'splitter',
		spec: '../platform/test/direct/endless.test.ts', test: 'in events of many streams at once',
	},
	{
		name: 'a call goes back to a target on a new connection only', file: 'direct/src/forward.ts',
		find: 'isRetryable(call) && !isSentAgain ?', replace: 'isRetryable(call) ?',
		spec: '../platform/test/direct/faulty-answers.test.ts', test: 'by repeating the refusal of its first attempt',
	},
	{
		name: 'a stream without events and framing is not whole', file: 'direct/src/answer-receiver.ts',
		find: 'if (!isFramed && events === 0) {', replace: 'if (!isFramed && events === -1) {',
		spec: '../platform/test/direct/faulty-answers.test.ts', test: 'ends its connection after its head',
	},
	{
		name: 'an idle rank is read less often', file: 'group/src/own-rank.ts',
		find: 'await sleep(idleCountsIntervalMs);', replace: 'await sleep(countsIntervalMs);',
		spec: 'group/test/own-rank.test.ts', test: 'reads an idle rank at most twice a second',
	},
	{
		name: 'a process tells only its followers of changes', file: 'cli/src/directory.ts',
		find: 'if (isFollowing) {', replace: 'if (isFollowing || followers.size > 0) {',
		spec: 'cli/test/directory.test.ts', test: 'from three peers at most',
	},
	{
		name: 'a followed entry that is silent is replaced', file: 'cli/src/sources.ts',
		find: 'candidate.silentUntilMs = now + silentForMs;', replace: '',
		spec: 'cli/test/sources.test.ts', test: 'replaces a peer that is lost at once',
	},
	{
		name: 'one of the followed peers is in another zone', file: 'cli/src/sources.ts',
		find: 'const elsewhere = last && size > 1', replace: 'const elsewhere = last && size > 100',
		spec: 'cli/test/sources.test.ts', test: 'one of them in another zone',
	},
	{
		name: 'a request is kept back after its second crash', file: 'quarantine/src/suspicion.ts',
		find: 'const requestCrashes = 2;', replace: 'const requestCrashes = 3;',
		spec: 'quarantine/test/quarantine.test.ts', test: 'keeps back a request that was at two targets',
	},
	{
		name: 'a request goes on after one crash with others', file: 'quarantine/src/suspicion.ts',
		find: 'return stopsGroupAlone ? groupRequestCrashes : requestCrashes;', replace: 'return groupRequestCrashes;',
		spec: 'quarantine/test/quarantine.test.ts', test: 'lets all sound requests that fell with a target go on',
	},
	{
		name: 'a request that alone stops a group is kept back at once', file: 'quarantine/src/suspicion.ts',
		find: 'return stopsGroupAlone ? groupRequestCrashes : requestCrashes;', replace: 'return requestCrashes;',
		spec: 'quarantine/test/quarantine.test.ts', test: 'if it alone can explain why a group stands still',
	},
	{
		name: 'a request under suspicion is no trial of its part', file: 'quarantine/src/quarantine.ts',
		find: 'if (trialPart !== undefined && isRivalOf(trialPart, parts)) {', replace: 'if (trialPart === \'\') {',
		spec: 'quarantine/test/quarantine.test.ts', test: 'clears the parts of such a request',
	},
	{
		name: 'a target in an evacuated zone takes no requests', file: 'direct/src/targets.ts',
		find: ' && !hasSaidLeaving() && !isEvacuated(record.zone)', replace: ' && !hasSaidLeaving()',
		spec: 'direct/test/targets.test.ts', test: 'gets no request that was placed before',
	},
	{
		name: 'a coordinator places no requests in an evacuated zone', file: 'group/src/sidecar.ts',
		find: ' && !deps.isEvacuated?.(record.zone)', replace: '',
		spec: 'group/test/sidecar.test.ts', test: 'places no request on the ranks of an evacuated zone',
	},
	{
		name: 'a call reaches no target in a region that is not allowed', file: 'direct/src/targets.ts',
		find: ' && isReachable && mayReach(call, record.zone)', replace: ' && isReachable',
		spec: 'direct/test/group-place.test.ts', test: 'places a call in no other zone',
	},
	{
		name: 'a coordinator excludes the zones that an entry names', file: 'group/src/sidecar.ts',
		find: ' || excludedZones.includes(zones[rank] ?? \'\')', replace: '',
		spec: 'group/test/sidecar.test.ts', test: 'places a request on no rank of a zone that its entry excludes',
	},
	{
		name: 'a status that HTTP does not allow is no answer', file: 'direct/src/exchange.ts',
		find: 'if (status < minStatus || status > maxStatus) {', replace: 'if (status < 0) {',
		spec: '../platform/test/direct/invalid-status.test.ts', test: 'a non-idempotent call gets 502',
	},
	{
		name: 'a body that has not arrived at its deadline is not waited for', file: 'direct/src/front.ts',
		find: 'const timer = setTimeout(cancel, timeoutMs,', replace: 'const timer = setTimeout(cancel, 1_000_000,',
		spec: '../platform/test/direct/slow-peers.test.ts', test: 'whose body has not arrived',
	},
	{
		name: 'the demand of a group outlasts its formation', file: 'group/src/demand-memory.ts',
		find: 'last = isUsable ? last :', replace: 'last = isUsable && nowMs() < 0 ? last :',
		spec: 'group/test/sidecar.test.ts', test: 'knows the demand of the last formation',
	},
	{
		name: 'restored shares count like some reports', file: 'policy/src/demand.ts',
		find: 'const restoredReports = 8;', replace: 'const restoredReports = 0.01;',
		spec: 'policy/test/demand.test.ts', test: 'keeps restored shares while reports agree',
	},
	{
		name: 'links to sidecars of unknown group are opened a few at a time', file: 'group/src/link-choice.ts',
		find: 'if (recent < maxProbes && !probes.has(target)) {', replace: 'if (!probes.has(target)) {',
		spec: 'group/test/link-choice.test.ts', test: 'go to a few sidecars of unknown group',
	},
	{
		name: 'sidecars that do not answer keep no other from being linked', file: 'group/src/link-choice.ts',
		find: 'sinceMs => now - sinceMs < probeMs', replace: '() => true',
		spec: 'group/test/link-choice.test.ts', test: 'reach every member within five seconds',
	},
	{
		name: 'the map is read once the members are known', file: 'group/src/coordination.ts',
		find: 'while (!areMembersKnown() &&', replace: 'while (monotonicMs() < 0 &&',
		spec: 'group/test/sidecar.test.ts', test: 'reads the map once the sidecars of all ranks',
	},
	{
		name: 'the map is read several times under one token', file: 'group/src/expert-balancer.ts',
		find: 'const maxMapReads = 5;', replace: 'const maxMapReads = 1;',
		spec: 'group/test/expert-balancer.test.ts', test: 'reads the map again under the same token',
	},
	{
		name: 'an old demand record is ignored', file: 'group/src/demand-record.ts',
		find: ' || !(Math.abs(ageMs) <= maxDemandAgeMs)', replace: '',
		spec: 'group/test/demand-record.test.ts', test: 'is ignored if it is old',
	},
	{
		name: 'demand records are not mirrored', file: 'mirror/src/mirror.ts',
		find: 'if (!isMirrored(key)) {', replace: 'if (key === \'\') {',
		spec: 'mirror/test/mirror.test.ts', test: 'holds and copies no entries of the keys',
	},
	{
		name: 'a copy that lists keys that are not mirrored fits', file: 'mirror/src/copy.ts',
		find: 'keys.filter(key => mirror.isMirrored(key))', replace: '[...keys]',
		spec: 'mirror/test/mirror.test.ts', test: 'holds and copies no entries of the keys',
	},
	{
		name: 'the share of a cold target also counts when a request is sent', file: 'direct/src/cold-place.ts',
		find: 'chosen.mayStart() && reservation.use()', replace: 'chosen.mayStart()',
		spec: 'direct/test/cold-place.test.ts', test: 'to a target that became cold after it was chosen',
	},
	{
		name: 'entries beyond the bound of a cold target send in slots', file: 'policy/src/cold-share.ts',
		find: 'Math.min(perSecond, mean), lapseMs: slotMs', replace: 'perSecond, lapseMs: Number.POSITIVE_INFINITY',
		spec: 'limit/test/cold.test.ts', test: 'less than one request for each entry',
	},
	{
		name: 'all requests that a rank prefills count as decoding afterwards', file: 'policy/src/group-admission.ts',
		find: 'request.hasBegun || pass === \'decoding\'', replace: 'request.hasBegun',
		spec: 'policy/test/group.test.ts', test: 'places no more requests at once than can decode together',
	},
	{
		name: 'a group slower than its model makes streams late', file: 'policy/src/pass-limit.ts',
		find: 'chosen = best;', replace: 'chosen = 0;',
		spec: 'group/test/slow-group.test.ts', test: 'serves streams whatever its passes take',
	},
	{
		name: 'streams are late only if more can be served so', file: 'policy/src/pass-limit.ts',
		find: '(1 - (lateStreamLossRatio * lateness))', replace: '(1 + lateness)',
		spec: 'group/test/slow-group.test.ts', test: 'keeps streams on time in an overload',
	},
	{
		name: 'no change of the map before a pass with the last one', file: 'group/src/expert-balancer.ts',
		find: 'if (!(await waitForPass(firstPass, deps))) {', replace: 'if (firstPass < 0) {',
		spec: 'group/test/expert-balancer.test.ts', test: 'starts no change before a pass has begun',
	},
	{
		name: 'streams that are not confirmed are asked for', file: 'policy/src/group-admission.ts',
		find: 'now - confirmedAtMs >= (hasBegun ? begunConfirmMs : placedConfirmMs)', replace: 'now < confirmedAtMs && hasBegun',
		spec: 'group/test/sidecar.test.ts', test: 'when the placement came too late and the end of the wait was lost',
	},
	{
		name: 'the list of streams names the requests without a reply', file: 'group/src/sidecar.ts',
		find: '...(pending ?? [])', replace: '',
		spec: 'group/test/sidecar.test.ts', test: 'when the list of streams crossed a placement',
	},
	{
		name: 'a late placement is answered', file: 'direct/src/group-place.ts',
		find: 'if (frame.kind === \'placed\') {', replace: 'if (frame.id === \'\') {',
		spec: 'direct/test/group-place.test.ts', test: 'tells the coordinator that a late placement has ended',
	},
	{
		name: 'a reply that has arrived is read before the entry gives up', file: 'direct/src/group-place.ts',
		find: 'const readTurns = 3;', replace: 'const readTurns = 0;',
		spec: 'direct/test/group-place.test.ts', test: 'takes a reply that has arrived before its time limit',
	},
	{
		name: 'what an entry sent over an older connection does not count', file: 'group/src/sidecar.ts',
		find: 'if (isReplaced(peer)) {', replace: 'if (isReplaced(peer) && frame.kind === \'alive\') {',
		spec: 'group/test/sidecar.test.ts', test: 'the end of an earlier attempt was read from the older one afterwards',
	},
];
