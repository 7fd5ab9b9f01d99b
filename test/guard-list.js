/**
The guards that enforce a guarantee. Each entry has the source text of the guard
(`find`), the text that removes it (`replace`), and the test that must then fail.
*/
export const guards = [
	{
		name: 'a key is looked at again in the turn that notes its claim', file: 'idempotency/src/claim.ts',
		find: 'if (known && known.kind !== \'withdrawn\') {\n\t\t\treturn fromKnown(known, fingerprint);\n\t\t}\n\n\t\tlet end', replace: 'let end',
		spec: 'idempotency/test/claim.test.ts', test: 'in the same turn',
	},
	{
		name: 'a call is dispatched only after its claim stands', file: 'idempotency/src/claim.ts',
		find: 'const appended = await shard.append({', replace: 'const appended = {kind: \'recorded\'}; void shard.append({',
		spec: 'idempotency/test/claim.test.ts', test: 'wakes after another has taken its shard',
	},
	{
		name: 'a new owner seals the epochs before it', file: 'idempotency/src/acquire.ts',
		find: 'if (!await sealEpoch(options, epoch))', replace: 'if (epoch < 0)',
		spec: 'idempotency/test/claim.test.ts', test: 'wakes after another has taken its shard',
	},
	{
		name: 'a new owner seals every epoch back to the last one known sealed', file: 'idempotency/src/acquire.ts',
		find: 'for (let epoch = ownership.sealedThrough + 1; epoch', replace: 'for (let epoch = ownership.epoch - 1; epoch > 0 && epoch',
		spec: 'idempotency/test/seal.test.ts', test: 'seals every epoch',
	},
	{
		name: 'a conflict is our own only if we wrote it', file: 'idempotency/src/shard.ts',
		find: 'found?.kind === \'records\' && found.writer === writer ?', replace: 'found ?',
		spec: 'idempotency/test/claim.test.ts', test: 'wakes after another has taken its shard',
	},
	{
		name: 'an owner whose lease has lapsed is not current', file: 'idempotency/src/shard.ts',
		find: 'isOpen: () => !isSealed && lease.isValid() && isCurrent(),', replace: 'isOpen: () => !isSealed,',
		spec: 'idempotency/test/claim.test.ts', test: 'says unknown once its own lease may have lapsed',
	},
	{
		name: 'a renewed lease lasts as granted', file: 'idempotency/src/lease.ts',
		find: 'askedAtMs + grantedMs', replace: 'askedAtMs + ttlMs()',
		spec: 'idempotency/test/claim.test.ts', test: 'believes in a renewed lease no longer',
	},
	{
		name: 'what another owner knows of a key stays', file: 'idempotency/src/claim.ts',
		find: 'if (owned?.keys.get(key) === running) {', replace: 'if (owned) {',
		spec: 'idempotency/test/seal.test.ts', test: 'does not overwrite what another owner',
	},
	{
		name: 'an owner that follows another takes nothing from its memory', file: 'idempotency/src/claim.ts',
		find: 'if (!before || next.epoch !== before.epoch + 1) {', replace: 'if (!before) {',
		spec: 'idempotency/test/seal.test.ts', test: 'does not overwrite what another owner',
	},
	{
		name: 'a seal is never cleared', file: 'idempotency/src/acquire.ts',
		find: 'segment.kind === \'records\' && segment.records.every(', replace: '(segment.kind === \'seal\' ? [] : segment.records).every(',
		spec: 'idempotency/test/seal.test.ts', test: 'clears old segments',
	},
	{
		name: 'a lower revision is never applied', file: 'config/src/follower.ts',
		find: 'if (next.revision <= head.revision) {', replace: 'if (next.revision < 0) {',
		spec: 'config/test/head.test.ts', test: 'never goes back to a lower revision',
	},
	{
		name: 'a change is pulled from one peer', file: 'config/src/follower.ts',
		find: 'if (nowMs < pullingUntilMs) {', replace: 'if (nowMs < 0) {',
		spec: 'config/test/head.test.ts', test: 'pulls a change once',
	},
	{
		name: 'a change that stands is not made again', file: 'config/src/change.ts',
		find: 'if (present.head.recent.some(change => change.id === author.changeId)) {', replace: 'if (present.storeRevision < 0) {',
		spec: 'config/test/head.test.ts', test: 'without making it twice',
	},
	{
		name: 'an edit names the body that it was made from', file: 'config/src/change.ts',
		find: 'if (present === editedFrom) {', replace: 'if (present !== \'\') {',
		spec: 'config/test/head.test.ts', test: 'accepts one of two edits',
	},
	{
		name: 'a switch names the revision that it was decided on', file: 'config/src/change.ts',
		find: 'if (wasSwitched || isOutOfSight) {', replace: 'if (isOutOfSight) {',
		spec: 'config/test/head.test.ts', test: 'refuses a switch that was decided before another switch',
	},
	{
		name: 'a chunk is what its hash says', file: 'config/src/follower.ts',
		find: 'if (!isChunk(hash, bytes)) {', replace: 'if (hash === \'\') {',
		spec: 'config/test/head.test.ts', test: 'turns down a chunk',
	},
	{
		name: 'a map is committed only when every rank holds it', file: 'experts/src/coordinator.ts',
		find: 'if (!held.every(reply => reply?.accepted)) {', replace: 'if (!held.some(reply => reply?.accepted)) {',
		spec: 'experts/test/coordinator.test.ts', test: 'is aborted when one rank does not reply',
	},
	{
		name: 'what any rank has committed is committed everywhere', file: 'experts/src/coordinator.ts',
		find: 'open <= chosen ? {kind: \'commit\'', replace: 'open < 0 ? {kind: \'commit\'',
		spec: 'experts/test/coordinator.test.ts', test: 'is finished by a new coordinator',
	},
	{
		name: 'old coordinators are refused at the gate', file: 'experts/src/gate.ts',
		find: 'order.epoch < highest', replace: 'order.epoch < 0',
		spec: 'experts/test/coordinator.test.ts', test: 'late by an old coordinator',
	},
	{
		name: 'a frame that says it is too large is not waited for', file: 'peer/src/frame.ts',
		find: 'if (length > maxFrameBytes) {', replace: 'if (length < 0) {',
		spec: 'peer/test/frame.test.ts', test: 'too large are not waited for',
	},
	{
		name: 'a peer that reads nothing is let go', file: 'peer/src/connection.ts',
		find: 'if (socket.writableLength > maxBacklogBytes) {', replace: 'if (socket.writableLength < 0) {',
		spec: 'peer/test/frame.test.ts', test: 'when its peer reads nothing',
	},
	{
		name: 'what was not sent is not the owner\'s word', file: 'entry/src/link.ts',
		find: 'reason: \'connectionLost\', retryAfterMs: unknownRetryMs, detail: \'given up',
		replace: 'reason: \'withdrawn\', retryAfterMs: unknownRetryMs, detail: \'given up',
		spec: 'entry/test/forward.test.ts', test: 'because its time is over while its owner',
	},
	{
		name: 'a frame of another version is turned away', file: 'peer/src/frame.ts',
		find: 'value.version !== protocolVersion', replace: 'value.version === 0',
		spec: 'peer/test/frame.test.ts', test: 'of another version',
	},
	{
		name: 'what belongs to no attempt is dropped', file: 'entry/src/link.ts',
		find: 'const attempt = attempts.get(frame.attempt);', replace: 'const attempt = attempts.get(frame.attempt) ?? [...attempts.values()][0];',
		spec: 'entry/test/forward.test.ts', test: 'drops and counts what belongs to no attempt',
	},
	{
		name: 'an answer that lacks bytes is not whole', file: 'entry/src/link.ts',
		find: 'attempt.received === frame.length', replace: 'attempt.received <= frame.length',
		spec: 'entry/test/forward.test.ts', test: 'takes an answer that lacks bytes for lost',
	},
	{
		name: 'after a loss a refusal proves nothing', file: 'entry/src/forward.ts',
		find: 'if (hasLoss) {', replace: 'if (retryAfterMs < 0) {',
		spec: 'entry/test/forward.test.ts', test: 'is never "not run" after an attempt',
	},
	{
		name: 'only the owner may say "not run" of a key', file: 'entry/src/forward.ts',
		find: 'if (isKeyed(call) && !ownersWord.has(last.reason)) {', replace: 'if (ownersWord.size === 0) {',
		spec: 'entry/test/forward.test.ts', test: 'only by the word of the owner',
	},
	{
		name: 'work that may not be repeated is not sent again after a loss', file: 'entry/src/forward.ts',
		find: ': call.idempotent && (result.reason', replace: ': (result.reason',
		spec: 'entry/test/forward.test.ts', test: 'may not be repeated goes elsewhere only',
	},
	{
		name: 'nothing is sent again once an answer has begun', file: 'entry/src/forward.ts',
		find: 'if (signal.aborted || answer.begun) {', replace: 'if (signal.aborted) {',
		spec: 'entry/test/forward.test.ts', test: 'while nothing of an answer has gone out',
	},
	{
		name: 'an ejected target is tried by one call at a time', file: 'policy/src/eject.ts',
		find: '|| (target.health.isTrial && target.ownTokens > 0)', replace: '',
		spec: 'policy/test/policy.test.ts', test: 'by one call at a time',
	},
	{
		name: 'a target that leaves takes no new work', file: 'sidecar/src/admission.ts',
		find: 'if (isClosed) {', replace: 'if (running < 0) {',
		spec: 'sidecar/test/admission.test.ts', test: 'once the target leaves',
	},
	{
		name: 'a stream that failed gets no end that looks whole', file: 'caller/src/answer.ts',
		find: 'res.write(`event: error\\ndata: ${JSON.stringify(problem)}\\n\\n`, () => {\n\t\t\t\t\tres.destroy();\n\t\t\t\t});', replace: String.raw`res.end('data: [DONE]\n\n');`,
		spec: 'caller/test/caller.test.ts', test: 'is a stream ends with an error event',
	},
	{
		name: 'a map is used only when every rank is armed for it', file: 'experts/src/pass-switch.ts',
		find: 'return armed.every(Boolean);', replace: 'return armed.some(Boolean);',
		spec: 'experts/test/pass-switch.test.ts', test: 'takes the map back from all',
	},
	{
		name: 'a map that is taken back has a higher version prepared over it', file: 'experts/src/pass-switch.ts',
		find: 'const sealed = await options.ranks.command(rank, guard({kind: \'prepare\', version: version + 1, map: current}, options));', replace: 'const sealed = disarmed;',
		spec: 'experts/test/pass-switch.test.ts', test: 'takes the map back from all',
	},
	{
		name: 'a coordinator that takes over is heard by every rank before it looks', file: 'experts/src/pass-switch.ts',
		find: 'const fenced = await fenceAll(options);', replace: 'const fenced = \'done\' as Step;',
		spec: 'experts/test/pass-switch.test.ts', test: 'looks only after every rank',
	},
	{
		name: 'an answer counts only with the id of the request', file: 'direct/src/exchange.ts',
		find: 'head.requestId !== undefined && head.requestId !== request.requestId', replace: 'request.requestId === \'\'',
		spec: '../platform/test/direct/calls.test.ts', test: 'answer is lost, torn, unproved',
	},
	{
		name: 'a success counts only with the seal of its target', file: 'direct/src/exchange.ts',
		find: '(status < 300 && !head.isSealed)', replace: 'request.requestId === \'\'',
		spec: '../platform/test/direct/calls.test.ts', test: 'answer is lost, torn, unproved',
	},
	{
		name: 'a broken connection is not the end of an answer', file: 'direct/src/exchange.ts',
		find: 'const isCut = connection.far === \'failed\' || (connection.far === \'ended\' && isFramed);', replace: 'const isCut = false;',
		spec: '../platform/test/direct/calls.test.ts', test: 'without a length only if',
	},
	{
		name: 'what may have run and may not be repeated is not sent again', file: 'direct/src/forward.ts',
		find: '(sending.kind === \'notRun\' || isRepeatable(call))', replace: 'true',
		spec: '../platform/test/direct/calls.test.ts', test: 'sent once when its answer is lost',
	},
	{
		name: 'sendings stay within their budget', file: 'direct/src/forward.ts',
		find: '!deps.resends.tryTake(call.service)', replace: 'call.service === \'\'',
		spec: '../platform/test/direct/calls.test.ts', test: 'beyond the budget',
	},
	{
		name: 'what may not be repeated has a connection of its own', file: 'direct/src/forward.ts',
		find: 'isRepeatable(call) ? repeatableRestMs : 0', replace: 'repeatableRestMs',
		spec: '../platform/test/direct/calls.test.ts', test: 'on a connection of its own',
	},
	{
		name: 'an event that a caller has is not sent twice', file: 'direct/src/forward.ts',
		find: 'event.id !== undefined && event.id <= progress.lastEvent', replace: 'event.id === -1',
		spec: '../platform/test/direct/streams.test.ts', test: 'breaks within an event goes on',
	},
	{
		name: 'a stream that ends within an event is not whole', file: 'direct/src/forward.ts',
		find: 'if (splitter.isTorn) {', replace: 'if (head.status === 0) {',
		spec: '../platform/test/direct/streams.test.ts', test: 'ends in order but within',
	},
	{
		name: 'an older value does not take the place of a newer one', file: 'mirror/src/mirror.ts',
		find: 'held && held.revision >= change.entry.revision', replace: 'held && held.revision < 0',
		spec: 'mirror/test/mirror.test.ts', test: 'never goes back',
	},
	{
		name: 'keys that lapsed in an outage get time to come back', file: 'mirror/src/follow.ts',
		find: 'mirror.replace(result, () => isSparing);', replace: 'mirror.replace(result);',
		spec: 'mirror/test/mirror.test.ts', test: 'gives keys that lapsed',
	},
	{
		name: 'an entry\'s streams are forgotten when it no longer names them', file: 'group/src/sidecar.ts',
		find: 'forget(peer.hello.instance, new Set(streams.map(({id}) => id)));', replace: '',
		spec: 'group/test/sidecar.test.ts', test: 'place a request where',
	},
	{
		name: 'the next rank waits for the lowest, and no longer', file: 'group/src/sidecar.ts',
		find: '!hasLower && now - lowerSeenMs >= successionMs * view.rank', replace: 'now < 0',
		spec: 'group/test/sidecar.test.ts', test: 'taken over by the next rank',
	},
	{
		name: 'a key is not passed on', file: '../platform/src/headers.ts',
		find: '\'x-key\', \'x-tenant\',', replace: '\'x-tenant\',',
		spec: '../platform/test/decode.test.ts', test: 'never pass a key on',
	},
	{
		name: 'a request has to leave passes within the allowed pause', file: 'policy/src/group-admission.ts',
		find: 'passWith(need, rank) > passShare * need.gapMs', replace: 'need.gapMs < 0',
		spec: 'policy/test/group.test.ts', test: 'lets in only what keeps',
	},
	{
		name: 'who can be in time goes before who is late anyway', file: 'policy/src/group-admission.ts',
		find: 'Number(slackB >= 0) - Number(slackA >= 0) ||', replace: '',
		spec: 'policy/test/group.test.ts', test: 'gives room to one that can be in time',
	},
	{
		name: 'a sidecar that closes is sent nothing more', file: 'entry/src/link.ts',
		find: 'isClosing = frame.isClosing === true;', replace: '',
		spec: 'entry/test/forward.test.ts', test: 'takes no attempt once the sidecar closes',
	},
	{
		name: 'an owner that gave its keys up is waited for, not asked again', file: 'entry/src/forward.ts',
		find: 'tried.add(id);', replace: '',
		spec: 'entry/test/forward.test.ts', test: 'waits while another sidecar still names',
	},
];
