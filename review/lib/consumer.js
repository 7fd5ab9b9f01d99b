import {connect} from 'node:net';

/**
Opens a connection of a consumer, which sends one request after the other on it. It
understands answers with a length and answers in chunks.
*/
export function openConsumer({host, port}) {
	const socket = connect({host, port, noDelay: true});
	let buffered = '';
	let isClosed = false;
	let onChange = () => undefined;
	socket.on('data', bytes => {
		buffered += bytes.toString('latin1');
		onChange();
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		isClosed = true;
		onChange();
	});

	return {
		get isClosed() {
			return isClosed;
		},
		/** Sends a request and resolves with its answer; `isComplete` is false if the connection closed before the answer was whole. */
		async ask({id, method, path, key, deadlineMs, headers = {}, body = ''}) {
			const sentMs = performance.now();
			buffered = '';
			const lines = Object.entries({
				host: 'ficu95.example', 'x-request-id': id, 'x-deadline-ms': deadlineMs, 'x-key': key, ...headers, ...(body !== '' && {'content-length': body.length}),
			}).map(([name, value]) => `${name}: ${value}\r\n`).join('');
			socket.write(`${method} ${path} HTTP/1.1\r\n${lines}\r\n${body}`);
			return new Promise(resolve => {
				const finish = answer => {
					clearTimeout(timer);
					onChange = () => undefined;
					resolve({...answer, sentMs, endedMs: performance.now()});
				};

				const timer = setTimeout(() => {
					socket.destroy();
					finish({
						status: 0, isComplete: false, body: '', why: 'the consumer waited for its whole time budget',
					});
				}, deadlineMs);
				onChange = () => {
					const answer = parseAnswer(buffered);
					if (answer.isComplete) {
						if (answer.mustClose) {
							socket.end();
							isClosed = true;
						}

						finish(answer);
					} else if (isClosed) {
						finish({...answer, why: 'the connection was closed'});
					}
				};

				onChange();
			});
		},
		close() {
			socket.destroy();
		},
	};
}

function parseAnswer(text) {
	const headEnd = text.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return {status: 0, isComplete: false, body: ''};
	}

	const head = text.slice(0, headEnd).toLowerCase();
	const rest = text.slice(headEnd + 4);
	const status = Number(head.split(' ', 2)[1]);
	const mustClose = /\r\nconnection: close/v.test(head);
	const length = /\r\ncontent-length: (\d+)/v.exec(head)?.[1];
	const isSealed = head.includes('\r\nx-replica-seal:');
	return length === undefined
		? {
			status, mustClose, isSealed, isComplete: rest.endsWith('\r\n0\r\n\r\n'), body: rest,
		}
		: {
			status, mustClose, isSealed, isComplete: rest.length >= Number(length), body: rest,
		};
}
