export {
	formatBadSetting, readSettings, type BadSetting, type SettingDef, type SettingDefs, type SettingsOf, type SettingsResult,
} from './settings.js';
export {
	addressSetting, ipSetting, nameSetting, numberSetting, parseAddress, portSetting, tableSetting, urlSetting, type Address,
} from './common.js';
