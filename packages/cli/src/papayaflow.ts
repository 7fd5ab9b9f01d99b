import {defineCommand, runMain} from 'citty';
import {explainCommand} from './explain-command.js';
import {drainCommand, statusCommand} from './fleet-commands.js';
import {presetCommand} from './preset-commands.js';

await runMain(defineCommand({
	meta: {name: 'papayaflow', version: '0.1.0', description: 'Operates papayaflow'},
	subCommands: {
		preset: presetCommand, status: statusCommand, drain: drainCommand, explain: explainCommand,
	},
}));
