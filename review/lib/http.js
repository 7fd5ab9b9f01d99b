import {Buffer} from 'node:buffer';

/** Reads a JSON body; an empty body gives an empty object. */
export async function readJson(req) {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	const text = Buffer.concat(chunks).toString();
	return text === '' ? {} : JSON.parse(text);
}

/** Sends a JSON body. */
export function sendJson(res, status, body) {
	const text = JSON.stringify(body);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	res.end(text);
}
