package settings

// Settings are the static settings of one daemon.
type Settings struct {
	Host      Host       `toml:"host"`
	Listen    Listen     `toml:"listen"`
	Platform  Platform   `toml:"platform"`
	Peers     Peers      `toml:"peers"`
	TLS       TLS        `toml:"tls"`
	Timeouts  Timeouts   `toml:"timeouts"`
	Limits    Limits     `toml:"limits"`
	Tickets   Tickets    `toml:"tickets"`
	Log       Log        `toml:"log"`
	Operators []Operator `toml:"operators"`
}
